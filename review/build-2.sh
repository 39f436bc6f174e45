#!/usr/bin/env bash
# Builds the stand-ins of the cases in review/6 to review/10, with the packages of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++20 -O1 -Wno-missing-field-initializers -I. -Ireview/standins-2 $(pkg-config --cflags cpp-httplib) \
    review/standins-2/*.cpp platform/testing/storestandin.cpp -o target/review-2/cases \
    $(pkg-config --libs cpp-httplib) -lssl -lcrypto -pthread
