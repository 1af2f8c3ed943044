#!/usr/bin/env bash
# Builds the drivers of the cases, with all stand-ins, into target/review/. Needs g++ only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[0-9]*/case.cpp; do
  [ -e "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -Ireview/harness -o "target/review/case-$number" "$source" review/harness/*.cpp
done
