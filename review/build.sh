#!/bin/sh
# Builds the drivers of the cases, which also contain their stand-ins, into review/bin/.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
for case in [1-5]; do
    [ -f "$case/case.cpp" ] || continue
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -I support -o "bin/case-$case" \
        "$case/case.cpp" support/support.cpp
done
