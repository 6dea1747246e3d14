#!/bin/bash
# Tests the simulator adapter as a process. It must answer a valid batch. On a malformed line, or input that ends
# inside a line or a batch, it must report the line number in one line on standard error, exit with a nonzero status
# and write nothing further to standard output. Usage: adapter.sh COMMAND
set -euo pipefail
command=$1
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

settings='categories.count=1 categories.0.name=view categories.0.sloMs=500 categories.0.deadlineMs=1000'
settings+=' categories.0.importance=1 categories.0.idempotency=pure unknown.key=1'
start="TURN 1\nINSTANCE 1\nCREATE 5 $settings\nSNAPSHOT_ROWS 0 1\nENTRY h1 z k 0 up 1 -\nREGISTRY 0 1 C\nEOF_BATCH\n"
count=0

play() {  # play INPUT: sets $exit to the exit status; writes standard output and error to files in $work
  exit=0
  printf '%b' "$1" | sh -c "$command" >"$work/out" 2>"$work/err" || exit=$?
  count=$((count + 1))
}
fail() { echo "adapter: $1"; cat "$work/out" "$work/err"; exit 1; }

good() {  # good WHAT INPUT LINE: succeeds, and a line of the reply matches LINE
  play "$2"
  [ "$exit" -eq 0 ] || fail "$1: exit status $exit, expected 0"
  [ ! -s "$work/err" ] || fail "$1: unexpected output on standard error"
  grep -qx -- "$3" "$work/out" || fail "$1: no line matches '$3'"
}
bad() {  # bad WHAT INPUT LINE_NUMBER REPLIES: fails with an error for line LINE_NUMBER, after REPLIES replies
  play "$2"
  [ "$exit" -ne 0 ] || fail "$1: exit status 0, expected an error"
  [ "$(wc -l <"$work/err")" -eq 1 ] || fail "$1: expected exactly one line on standard error"
  grep -q "line $3: " "$work/err" || fail "$1: the error does not name line $3"
  [ "$(grep -cx OK "$work/out" || true)" -eq "$4" ] || fail "$1: expected $4 replies"
}

good "empty batch" "TURN 1\nEOF_BATCH\n" OK
good "two empty batches" "TURN 1\nEOF_BATCH\nTURN 2\nEOF_BATCH\n" OK
good "a request" "${start}TURN 2\nINSTANCE 1\nKNOCK t/1 view - - 400 - 0\nEOF_BATCH\n" "PASS_ON t/1 h1 .*"
bad "unknown message" "TURN 1\nBOGUS\n" 2 0
bad "bad number" "${start}TURN 2\nINSTANCE 1\nKNOCK t/1 view - - x - 0\nEOF_BATCH\n" 10 1
bad "bad outcome" "${start}TURN 2\nINSTANCE 1\nCOMPLETED t/1 0 h1 99 1 5 -\nEOF_BATCH\n" 10 1
bad "invalid settings" "TURN 1\nINSTANCE 1\nCREATE 5 categories.0.name=a\n" 3 0
bad "input ends inside a line" "${start}TURN 2\nINSTA" 9 1
bad "input ends inside a batch" "${start}TURN 2\n" 8 1
bad "input ends inside a list" "TURN 1\nSNAPSHOT_ROWS 0 2\nENTRY h1 z k 0 up 1 -\n" 3 0
bad "event for an unknown instance" "TURN 1\nINSTANCE 9\nFIRED sweep\n" 3 0
echo "adapter: $count cases"
