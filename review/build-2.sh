#!/bin/sh
# Builds the stand-ins and clients of the scripts of cases 6 and later into target/review/. Needs
# g++ only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/*/case.cpp; do
    if ! grep -q 'support-2/support.h' "$source"; then
        continue
    fi
    number=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O1 -pthread "$source" -o "target/review/case-$number"
done
