#!/bin/bash
# Looks for withdrawn words (tests/withdrawn_terms.txt) in the names, comments and log lines of the C++ files.
# Fails on one in a finished package, and on a package of tests/lint_pending.txt with more lines than listed.
#
#   terms.sh                  check
#   terms.sh --show PACKAGE   each line of a package that has such words: FILE:LINE: WORD, ...
#   terms.sh --count [ROOT]   "PACKAGE LINES" for each package of the tree at ROOT (this tree if left out)
#
# A package is a folder with C++ files under src, include, tests or examples.
set -euo pipefail
lists=$(cd "$(dirname "$0")" && pwd)
root=$(dirname "$lists")

usage() { sed -n '2,8s/^# \{0,1\}//p' "$0" >&2; exit 2; }
entries() { sed -e '/^[[:space:]]*#/d' -e '/^[[:space:]]*$/d' "$1"; }

packages() {
  find src include tests examples -name '*.?pp' -printf '%h\n' | sort -u
}

# One sed program: blanks out allowed texts, then splits CamelCase and snake_case into words in lower case.
# The names of included files count where these files are.
allowed=$(entries "$lists/allowed_terms.txt" | sed -e 's/ | .*//' | paste -sd '|')
split="/^#include/s/.*//; s@$allowed@ @g; s/([A-Z]+)([A-Z][a-z])/\1 \2/g; s/([a-z0-9])([A-Z])/\1 \2/g; s/_/ /g; s/.*/\L&/"

# The words withdrawn in package $1, as one extended regular expression.
pattern_of() {
  entries "$lists/withdrawn_terms.txt" | while IFS= read -r entry; do
    word=${entry%% | *}
    scope=${entry##*|}
    scope=${scope# }
    [[ -z $scope || $1 =~ ^($scope)(/|$) ]] && printf '%s|' "${word// / +}"
    true
  done | sed 's/|$//'
}

# show PACKAGE: FILE:LINE: WORD, ... for each of its lines that has withdrawn words; line 0 is the file's name.
show() {
  local pattern file
  pattern="(^|[^a-z])($(pattern_of "$1"))([^a-z]|$)"
  for file in "$1"/*.?pp; do
    { basename "$file" && cat "$file"; } | sed -E "$split" | { grep -noE "$pattern" || true; } |
      awk -v file="$file" '
        { number = $0 + 0; sub(/^[0-9]+:/, ""); gsub(/[^a-z ]/, " "); gsub(/^ +| +$/, "") }
        number == line { words = words ", " $0; next }
        { if (line) print file ":" line - 1 ": " words; line = number; words = $0 }
        END { if (line) print file ":" line - 1 ": " words }'
  done
}

count() {
  local package
  for package in $(packages); do echo "$package $(show "$package" | wc -l)"; done
}

# The lines that package $1 is listed with; 0 if it is finished.
listed() {
  entries "$lists/lint_pending.txt" | awk -v package="$1" '$1 == package { lines = $3 } END { print lines + 0 }'
}

check() {
  local failed=0 package lines most
  for package in $(packages); do
    lines=$(show "$package" | wc -l)
    most=$(listed "$package")
    if [ "$lines" -gt "$most" ]; then
      failed=1
      echo "$package: withdrawn words on $lines lines, $most at most (docs/glossary.md):"
      show "$package"
    elif [ "$most" -gt 0 ]; then
      echo "$package: pending, withdrawn words on $lines lines ($most listed)"
    fi
  done
  return "$failed"
}

case ${1:-} in
  "") cd "$root" && check ;;
  --show) [ $# -eq 2 ] || usage; cd "$root" && show "${2%/}" ;;
  --count) cd "${2:-$root}" && count ;;
  *) usage ;;
esac
