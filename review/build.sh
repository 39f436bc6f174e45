#!/usr/bin/env bash
# Builds the stand-ins and the scenarios of all cases into review/bin, with the compiler and the libraries that the deploy file names.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for source in standins/*.cpp; do
    g++ -std=c++20 -O1 -pthread -c "$source" -o "bin/$(basename "$source" .cpp).o" &
done
wait
for folder in [1-9]; do
    if [ -e "$folder/scenario.cpp" ]; then
        g++ -std=c++20 -O1 -pthread "$folder/scenario.cpp" bin/http.o bin/world.o -o "bin/scenario-$folder" &
    fi
done
wait
for folder in [1-9]; do
    if [ -e "$folder/scenario.cpp" ] && [ ! -x "bin/scenario-$folder" ]; then
        echo "scenario $folder was not built" >&2
        exit 1
    fi
done
