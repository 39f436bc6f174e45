#!/usr/bin/env bash
# Installs the packages that the build needs and builds everything into ./build.
set -euo pipefail
cd "$(dirname "$0")/.."

packages=(
    cmake g++ ninja-build pkg-config python3 clang-format clang-tidy
    libcpp-httplib-dev libflatbuffers-dev prometheus-cpp-dev libtclap-dev liblog4cplus-dev libboost-dev
    doctest-dev libtomlplusplus-dev nlohmann-json3-dev libxxhash-dev librapidcheck-dev libpcg-cpp-dev
    libbenchmark-dev libssl-dev zlib1g-dev libbrotli-dev
)
missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q "ok installed" || missing+=("$package")
done
if [ ${#missing[@]} -gt 0 ]; then
    echo "installing ${missing[*]}"
    apt-get update -qq
    DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
fi

cmake -S . -B build -G Ninja >/dev/null
cmake --build build
