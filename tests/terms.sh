#!/bin/bash
# Searches the names, comments and log lines of the C++ files for withdrawn words (tests/withdrawn_terms.txt). Fails if
# a finished package has any, or if a package in tests/lint_pending.txt has them on more lines than listed there.
#
#   terms.sh                  check all packages
#   terms.sh --show PACKAGE   print FILE:LINE: WORD, ... for each line of a package that has withdrawn words
#   terms.sh --count [ROOT]   print "PACKAGE LINES" for each package of the tree at ROOT (default: this tree)
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

# A sed program that removes the allowed texts, then splits CamelCase and snake_case names into lower-case words.
# #include lines are skipped: the name of an included file is checked in the package of that file.
allowed=$(entries "$lists/allowed_terms.txt" | sed -e 's/ | .*//' | paste -sd '|')
split="/^#include/s/.*//; s@$allowed@ @g; s/([A-Z]+)([A-Z][a-z])/\1 \2/g; s/([a-z0-9])([A-Z])/\1 \2/g; s/_/ /g; s/.*/\L&/"

# The words withdrawn in package $1, as one extended regular expression.
pattern_of() {
  entries "$lists/withdrawn_terms.txt" | while IFS= read -r entry; do
    word=${entry%% | *}
    scope=${entry#* | }  # TERM | PACKAGES; PACKAGES may contain further bars
    scope=${scope#*|}
    scope=${scope# }
    [[ -z $scope || $1 =~ ^($scope)(/|$) ]] && printf '%s|' "${word// / +}"
    true
  done | sed 's/|$//'
}

# show PACKAGE: prints FILE:LINE: WORD, ... for each line that has withdrawn words; line 0 is the file name.
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

# Prints the number of lines listed for package $1 in tests/lint_pending.txt; 0 if the package is finished.
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
      echo "$package: withdrawn words on $lines lines, at most $most allowed (see docs/glossary.md):"
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
