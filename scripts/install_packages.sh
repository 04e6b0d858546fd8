#!/bin/sh
# Installs the Debian packages that the build, checks and tests need, if missing.
set -eu
packages="g++ cmake ninja-build make pkg-config clang-format clang-tidy
libglib2.0-dev libsoup-3.0-dev libhttp-parser-dev libflatbuffers-dev libtclap-dev
liblog4cplus-dev libboost-dev libboost-test-dev librapidcheck-dev
nlohmann-json3-dev libxxhash-dev libcsv-dev libbenchmark-dev gnuplot-nox curl"
missing=""
for package in $packages; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null |
    grep -q '^install ok installed' || missing="$missing $package"
done
[ -z "$missing" ] && exit 0
apt-get update -qq
# shellcheck disable=SC2086
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends $missing
