#!/usr/bin/env python3
"""Measures the size and the vocabulary of the C++ code, one row per package.

    tests/measure_code.py [ROOT] [--list]

ROOT is the tree to measure (default: this one). Columns:

    files       C++ files of the package (a folder under src, include, tests or examples)
    lines       total number of lines in these files
    fn>40       functions of more than 40 lines, from the line of the opening brace to that of the closing brace
    fn>60       functions of more than 60 lines
    file>300    files of more than 300 lines
    withdrawn   lines that contain withdrawn words (see tests/terms.sh)

Functions are found by matching braces, so the figures are close to those of a compiler, but not identical. A lambda or
a local class counts as part of the enclosing function. --list also prints the long functions and files.
"""

import argparse
import os
import re
import subprocess
import sys

FOLDERS = ("src", "include", "tests", "examples")
MAX_FUNCTION, HARD_MAX_FUNCTION, MAX_FILE = 40, 60, 300
CONTROL = re.compile(r"\b(namespace|class|struct|union|enum|extern)\b")
TOKENS = re.compile(
    r'//[^\n]*|/\*.*?\*/|R"([^(\s]*)\(.*?\)\1"|"(?:\\.|[^"\\\n])*"|\'(?:\\.|[^\'\\\n])+\'', re.DOTALL
)


def blank(match):
    """Replaces a comment or literal by the same number of line breaks, which preserves the line numbers."""
    text = match.group(0)
    if text.startswith("'") and match.start() > 0 and match.string[match.start() - 1].isalnum():
        return text  # a digit separator
    return "0" + "\n" * text.count("\n") if not text.startswith("/") else " " + "\n" * text.count("\n")


def functions(text):
    """Yields (first line, last line, signature) of each function body that is not inside another function."""
    code = TOKENS.sub(blank, text)
    code = re.sub(r"^[ \t]*#(?:[^\n\\]|\\\n|\\.)*", lambda m: "\n" * m.group(0).count("\n"), code, flags=re.M)
    blocks, head, line = [], "", 1
    in_function = 0
    for char in code:
        if char == "\n":
            line += 1
        if char == "{":
            stripped = head.strip()
            initializer = re.search(r"\)\s*(noexcept\s*)?:[^:]", stripped) and re.search(r"[\w>]$", stripped)
            if in_function:
                blocks.append(("inner", 0, ""))
            elif initializer:
                blocks.append(("initializer", 0, head))
            elif "(" in stripped and not CONTROL.match(re.sub(r"^template\s*<.*?>\s*", "", stripped)):
                if re.search(r"=\s*(\[|$)|=\s*\w+[\w:<>]*$", stripped) and "operator" not in stripped:
                    blocks.append(("value", 0, ""))
                else:
                    blocks.append(("function", line, " ".join(stripped.split())))
                    in_function = 1
            else:
                blocks.append(("scope", 0, ""))
            head = ""
        elif char == "}":
            if not blocks:
                continue
            kind, first, name = blocks.pop()
            head = ""
            if kind == "function":
                in_function = 0
                yield first, line, name
            elif kind == "initializer":
                head = name + "0"
        elif char == ";" and not in_function:
            head = ""
        elif not in_function:
            head += char
            if head.strip() in ("public:", "private:", "protected:"):
                head = ""


def packages(root):
    """Returns the file names of each package, by folder."""
    found = {}
    for top in FOLDERS:
        for folder, _, names in os.walk(os.path.join(root, top)):
            files = sorted(name for name in names if name.endswith((".cpp", ".hpp")))
            if files:
                found[os.path.relpath(folder, root)] = files
    return dict(sorted(found.items()))


def withdrawn(root):
    script = os.path.join(os.path.dirname(os.path.abspath(__file__)), "terms.sh")
    rows = subprocess.run(["bash", script, "--count", root], check=True, capture_output=True, text=True).stdout
    return {package: int(lines) for package, lines in (row.rsplit(" ", 1) for row in rows.splitlines())}


def measure(root, show):
    """Prints the table and, if `show` is set, the long functions and files."""
    words = withdrawn(root)
    total = [0] * 6
    details = []
    print(f"| {'package':20} | files | lines | fn>40 | fn>60 | file>300 | withdrawn |")
    print("| --- | ---: | ---: | ---: | ---: | ---: | ---: |")
    for package, files in packages(root).items():
        row = [len(files), 0, 0, 0, 0, words.get(package, 0)]
        for name in files:
            path = os.path.join(root, package, name)
            with open(path, encoding="utf-8") as file:
                text = file.read()
            lines = text.count("\n")
            row[1] += lines
            if lines > MAX_FILE:
                row[4] += 1
                details.append(f"{package}/{name}: {lines} lines")
            for first, last, head in functions(text):
                length = last - first + 1
                row[2] += int(length > MAX_FUNCTION)
                row[3] += int(length > HARD_MAX_FUNCTION)
                if length > MAX_FUNCTION:
                    details.append(f"{package}/{name}:{first}: {length} lines: {head[-80:]}")
        total = [sum(pair) for pair in zip(total, row)]
        print("| {:20} | {} | {} | {} | {} | {} | {} |".format(package, *row))
    print("| {:20} | {} | {} | {} | {} | {} | {} |".format("all", *total))
    if show:
        print("\n".join(details))


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    here = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
    parser.add_argument("root", nargs="?", default=here)
    parser.add_argument("--list", action="store_true")
    arguments = parser.parse_args()
    measure(os.path.abspath(arguments.root), arguments.list)


if __name__ == "__main__":
    sys.exit(main())
