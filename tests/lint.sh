#!/bin/bash
# Checks the source files before anything is built: formatting, shell scripts, withdrawn words, the form of lint
# exceptions, includes across packages, and clang-tidy on all finished packages.
#
#   lint.sh                      run all checks
#   lint.sh --count PACKAGE...   print "PACKAGE FINDINGS", the number of clang-tidy findings, for each; finished or not
#   lint.sh --show PACKAGE...    print the findings
#
# A package is a folder with C++ files under src, include, tests or examples. Packages that are not clean yet are
# listed in tests/lint_pending.txt; every other package is finished and must be clean.
set -euo pipefail
cd "$(dirname "$0")/.."

# Entries that the list of pending packages may have. Lower it with every entry that goes; never raise it.
most_pending=18
build="build-lint"
jobs=$(nproc)

usage() { sed -n '2,10s/^# \{0,1\}//p' "$0" >&2; exit 2; }
step() { printf '\n-- %s\n' "$*"; }
entries() { sed -e '/^[[:space:]]*#/d' -e '/^[[:space:]]*$/d' tests/lint_pending.txt; }
packages() { find src include tests -name '*.?pp' -printf '%h\n' | sort -u; }
pending() { entries | awk '$2 > 0 { print $1 }'; }
finished() { packages | grep -vxF -f <(pending); }

# Prints the files of package $1 that clang-tidy is run on: its sources, or its headers if it has no sources.
files_of() {
  local sources=()
  mapfile -t sources < <(find "$1" -maxdepth 1 -name '*.cpp')
  [ ${#sources[@]} -gt 0 ] || mapfile -t sources < <(find "$1" -maxdepth 1 -name '*.hpp')
  printf '%s\n' "${sources[@]}"
}

configure() {
  # clang-tidy can't read GCC's precompiled headers.
  cmake -B "$build" -DCMAKE_BUILD_TYPE=Debug -DMEADOWYARD_TESTS=ON -DCMAKE_EXPORT_COMPILE_COMMANDS=ON \
    -DCMAKE_DISABLE_PRECOMPILE_HEADERS=ON >/dev/null
}

# tidy PACKAGE...: prints each finding in these packages once. Runs one process per core, on the largest files first.
tidy() {
  local filter work status=0 findings
  work=$(mktemp -d)
  filter="/($(printf '%s\n' "$@" | paste -sd '|'))/[^/]*\$"
  # shellcheck disable=SC2016  # the inner shell expands its own arguments
  for package in "$@"; do files_of "$package"; done | xargs ls -S |
    xargs -P "$jobs" -I '{}' sh -c \
      'exec clang-tidy --quiet -p "$1" --header-filter="$2" "$3" >"$4/$(echo "$3" | tr / _)" 2>&1' \
      clang-tidy "$build" "$filter" '{}' "$work" || status=$?
  findings=$(cat "$work"/* | grep -E ':[0-9]+:[0-9]+: (error|warning): ' | sed "s@^$PWD/@@" | sort -u || true)
  # xargs exits with 123 if clang-tidy had findings or could not read a file, with a higher status if clang-tidy could
  # not be run or crashed.
  if [ "$status" -gt 123 ] || { [ "$status" -ne 0 ] && [ -z "$findings" ]; }; then
    cat "$work"/* >&2
    echo "clang-tidy failed (exit status of xargs: $status); its output is above" >&2
    return 1
  fi
  rm -rf "$work"
  [ -z "$findings" ] || printf '%s\n' "$findings"
}

check_format() {
  find src include tests examples -name '*.?pp' -print0 | xargs -0 clang-format --dry-run -Werror
}

check_scripts() {
  shellcheck .ci/run quickstart.sh tests/*.sh
}

# An exception applies to one line: `NOLINT(check-name): reason` on that line, or NOLINTNEXTLINE above it if the line
# is full. Exceptions for more than one line are not allowed.
check_exceptions() {
  ! grep -rnE 'NOLINT' src include tests examples --include='*.?pp' |
    grep -vE '// NOLINT(NEXTLINE)?\([a-z][a-zA-Z0-9.-]*(, ?[a-z][a-zA-Z0-9.-]*)*\): [^ ]+' ||
    { echo "a lint exception must have the form NOLINT(check-name): reason"; return 1; }
}

# A package may include only from the packages that it uses in CMakeLists.txt, directly or indirectly.
check_includes() {
  {
    tr '\n' ' ' <CMakeLists.txt | grep -oE '(meadowyard_package|target_link_libraries)\([^)]*\)' |
      sed -E 's/^[a-z_]+\(//; s/\)$//; s/ (USES|INTERFACE|PUBLIC) / /; s/^/uses /'
    for package in $(packages); do
      grep -nE '^#include "[^"]+/[^"]+"' "$package"/*.?pp /dev/null |
        sed -E 's@^([^:]+:[0-9]+):#include "(.*)/[^/]*"@include '"${package#src/}"' \2 \1@' || true
    done
  } | awk '
    function target(folder) { gsub("/", "_", folder); return folder ~ /^meadowyard/ ? folder : "meadowyard_" folder }
    function reaches(from, to,   i, next_target) {
      if (from == to) return 1
      for (i = 1; i <= count[from]; i++) if (reaches(uses[from, i], to)) return 1
      return 0
    }
    $1 == "uses" { for (i = 3; i <= NF; i++) uses[target($2), ++count[target($2)]] = $i }
    $1 == "include" && $2 !~ /^(tests|include)/ {
      included = $3 == "meadowyard" ? "meadowyard_decision" : target($3)
      if (!reaches(target($2), included)) { print $4 ": " $2 " does not use " $3 " in CMakeLists.txt"; failed = 1 }
    }
    END { exit failed }'
}

check_pending() {
  local count
  count=$(entries | wc -l)
  echo "pending packages: $count ($most_pending at most)"
  entries | awk '{ printf "  %s: %s clang-tidy findings, withdrawn words on %s lines\n", $1, $2, $3 }'
  [ "$count" -le "$most_pending" ] || { echo "the list of pending packages has grown"; return 1; }
  entries | awk '{ print $1 }' | while IFS= read -r package; do
    [ -d "$package" ] || { echo "$package: listed in tests/lint_pending.txt, but the folder does not exist"; return 1; }
  done
}

check_tidy() {
  local clean=() findings start=$SECONDS
  mapfile -t clean < <(finished)
  [ ${#clean[@]} -gt 0 ] || return 0
  configure
  findings=$(tidy "${clean[@]}")
  echo "clang-tidy: ${#clean[@]} packages in $((SECONDS - start)) s"
  [ -z "$findings" ] || { echo "$findings"; return 1; }
}

case ${1:-} in
  "")
    step "format"; check_format
    step "shell scripts"; check_scripts
    step "withdrawn words"; bash tests/terms.sh
    step "lint exceptions"; check_exceptions
    step "includes across packages"; check_includes
    step "pending packages"; check_pending
    step "clang-tidy"; check_tidy
    echo "lint: $SECONDS s"
    ;;
  --count)
    shift; [ $# -gt 0 ] || usage
    configure
    findings=$(tidy "${@%/}")
    for package in "${@%/}"; do echo "$package $(grep -cE "^$package/[^/]*:" <<<"$findings" || true)"; done
    ;;
  --show) shift; [ $# -gt 0 ] || usage; configure; tidy "${@%/}" ;;
  *) usage ;;
esac
