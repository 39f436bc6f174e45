#!/usr/bin/env bash
# Checks formatting and runs the linter on the sources; needs a configured ./build. A source whose preprocessed text, lint
# rules and tool have been found clean before is not checked again; build/lint remembers them by hash.
# usage: scripts/lint.sh [FILE...]   (all sources of the repository without arguments)
set -euo pipefail
cd "$(dirname "$0")/.."

if [ $# -gt 0 ]; then
    files=("$@")
else
    mapfile -t files < <(git ls-files --cached --others --exclude-standard '*.h' '*.cpp' | grep -v '_generated\.h$')
fi
clang-format --dry-run -Werror "${files[@]}"

# Names of the platform's messages belong to platform/ alone.
words='"(fencing_token|until_ms|seen_upto|clock_ms|run-start|run-stop|api_keys|path_prefix|target_runtime_ms|depends_on|data_rack|required_label|anti_affinity|may_miss|estimate_ms|end_offset|log-append|log-read|log-newest|keyed\.[a-z]+)"|/v1/(run-start|run-stop|hold|log-[a-z]+|ready)\b|Expected-Instance|Duty-Holder'
if git grep -nE "$words" -- 'packages/*.h' 'packages/*.cpp' ':!packages/*testing*'; then
    echo "lint: names of the platform outside platform/" >&2
    exit 1
fi

mkdir -p build/lint
# The hash covers what the compiler sees after preprocessing, so a change of any included header counts; a fixed date keeps
# headers that use __TIME__ from changing it.
check_one() {
    local source=$1 flags key
    flags=$(python3 scripts/compile_flags.py build/compile_commands.json "$source")
    key=$({ clang-tidy --version; cat .clang-tidy; echo "$source $flags"; eval "SOURCE_DATE_EPOCH=0 g++ $flags -E -P '$source'" 2>/dev/null || echo "$RANDOM$RANDOM"; cat "$source"; } | sha256sum | cut -d' ' -f1)
    [ -e "build/lint/$key" ] && return 0
    clang-tidy -p build --quiet "$source" 2>/dev/null
    touch "build/lint/$key"
}
export -f check_one
printf '%s\n' "${files[@]}" | grep '\.cpp$' | xargs -r -P "$(nproc)" -I {} bash -c 'set -euo pipefail; check_one {}'
echo "lint: ${#files[@]} files clean"
