#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into target/review-3, with the packages of the deploy file alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
sources=(
    review/standins-3/poolcase.cpp review/standins-3/smallworld.cpp review/standins-3/lateproxy.cpp
    testing/soak/soakexecutor.cpp platform/testing/storestandin.cpp testing/harness/childprocess.cpp testing/harness/poll.cpp testing/harness/relay.cpp
    packages/ports/httpchannel.cpp packages/ports/httpclient.cpp packages/ports/httprequest.cpp packages/ports/deadlinestream.cpp packages/ports/tls.cpp
    packages/util/outcome.cpp packages/util/printable.cpp packages/util/digest.cpp
)
objects=()
for it in "${sources[@]}"; do
    object="target/review-3/$(basename "$it" .cpp).o"
    g++ -std=c++20 -O1 -DCATKIN_BINARY_DIR='"."' -I packages -I testing -I review -I . -c "$it" -o "$object" &
    objects+=("$object")
done
for job in $(jobs -p); do
    wait "$job"
done
g++ "${objects[@]}" $(pkg-config --libs cpp-httplib openssl libxxhash) -lpthread -o target/review-3/poolcase
