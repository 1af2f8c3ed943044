#!/usr/bin/env bash
# Builds the stand-ins and cases 4 to 8 of the second review into target/review-2/. Needs g++ alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
flags=(-std=c++20 -O2 -Wall -Wextra -Ireview -pthread)
jobs=()
wait_for_jobs() {
  local job
  for job in "${jobs[@]}"; do wait "$job"; done
  jobs=()
}
for part in http tier; do
  g++ "${flags[@]}" -c "review/support/$part.cpp" -o "target/review-2/$part.o" &
  jobs+=($!)
done
wait_for_jobs
for source in review/[4-8]/*.cpp; do
  [ -e "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  g++ "${flags[@]}" "$source" target/review-2/http.o target/review-2/tier.o -o "target/review-2/case-$number" &
  jobs+=($!)
done
wait_for_jobs
