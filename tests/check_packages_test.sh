#!/usr/bin/env bash
# deploy/check_packages.sh on copies of the deploy file that lack one package each: it has to fail, and to name the
# package with a file of it.
#
#   check_packages_test.sh FOLDER   a folder that `check_packages.sh derive` has filled
set -euo pipefail
cd "$(dirname "$0")/.."
folder=$1
failed=0

expect_missing() {  # package, start of the path of a file of it that the build uses
  local planted="$folder/without-$1.toml" said
  sed "s/\"$1\", //; s/, \"$1\"//" deploy/system.toml >"$planted"
  if cmp -s deploy/system.toml "$planted"; then
    echo "FAILED: $1 is not in the list, nothing was planted"
    failed=1
  elif said=$(deploy/check_packages.sh compare "$folder" "$planted" 2>&1); then
    echo "FAILED: a list without $1 passes"
    failed=1
  elif ! grep -q "$1 is not covered; the build uses $2" <<<"$said"; then
    echo "FAILED: a list without $1 is refused, but neither it nor $2 is named: $said"
    failed=1
  else
    echo "a list without $1: $(grep -o "$1 is not covered.*" <<<"$said" | head -1)"
  fi
}

expect_missing cmake /usr/bin/cmake
expect_missing g++ /usr/bin/c++
expect_missing make /usr/bin/
expect_missing libavro-dev /usr/
expect_missing libtomlplusplus-dev /usr/include/toml++
expect_missing libxxhash-dev /usr/
exit $failed
