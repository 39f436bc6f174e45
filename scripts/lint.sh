#!/usr/bin/env bash
# Checks formatting and runs the linter on the sources; needs a configured ./build.
# usage: scripts/lint.sh [FILE...]   (all sources of the repository without arguments)
set -euo pipefail
cd "$(dirname "$0")/.."

if [ $# -gt 0 ]; then
    files=("$@")
else
    mapfile -t files < <(git ls-files --cached --others --exclude-standard '*.h' '*.cpp' | grep -v '_generated\.h$')
fi
clang-format --dry-run -Werror "${files[@]}"
printf '%s\n' "${files[@]}" | grep '\.cpp$' | xargs -r -P "$(nproc)" -n 1 clang-tidy -p build --quiet 2>/dev/null
echo "lint: ${#files[@]} files clean"
