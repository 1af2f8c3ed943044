#!/usr/bin/env bash
# Checks that `packages` in the deploy file names every Debian package that a clean build of the tier needs.
#
#   check_packages.sh derive FOLDER      builds a clean copy of the sources by the deploy file's `build` line in FOLDER
#                                        and writes FOLDER/used: each file of the system that the build read or started
#   check_packages.sh compare FOLDER [DEPLOY_FILE]
#                                        exit status 1, naming packages, where the deploy file's list does not cover them
#
# A file counts as covered if each package that owns it, or a symbolic link on the way to it, is essential, listed, or
# a dependency of these (Depends and Pre-Depends; Recommends are not installed everywhere).
set -euo pipefail
cd "$(dirname "$0")/.."
export LC_ALL=C

deploy_file=deploy/system.toml

fail() { echo "check-packages: $*" >&2; exit 1; }

build_line() { sed -n 's/^build = "\(.*\)"$/\1/p' "$deploy_file"; }

listed_packages() {  # deploy file
  sed -n '/^packages = \[/,/\]/p' "$1" | sed 's/#.*//' | grep -o '"[^"]*"' | tr -d '"'
}

# ---- which files the build uses

copy_sources() {  # folder
  git ls-files -z --cached --others --exclude-standard | xargs -0 -I{} sh -c 'test -f "$1" && echo "$1"' _ {} |
    tar -cf - -T - | tar -xf - -C "$1"
}

cache_value() {  # name in CMakeCache.txt
  sed -n "s/^$1:[^=]*=//p" CMakeCache.txt
}

# Programs: those that the build line and CMake's generated files call, and those that the compiler starts.
programs() {
  build_line | sed 's/&&/\n/g' | awk '{print $1}'
  cache_value CMAKE_COMMAND
  cache_value CMAKE_MAKE_PROGRAM
  cache_value CMAKE_CXX_COMPILER
  find . -name link.txt -exec cat {} + | awk '{print $1}'
  echo 'int main() {}' >started.cpp
  # -### prints the commands that the compiler would start: program and arguments, on a line that begins with a space.
  "$(cache_value CMAKE_CXX_COMPILER)" -### -o started started.cpp 2>&1 | awk '/^ / && NF > 2 {gsub(/"/, ""); print $1}'
  "$(cache_value CMAKE_CXX_COMPILER)" -print-prog-name=ld
}

# Headers, from the dependency files that the compiler wrote.
headers() { find . -name '*.d' -exec cat {} + | tr ' \\' '\n\n' | grep '^/' | sed 's/:$//'; }

# CMake's own modules and the packages' configurations that it read.
cmake_files() { find . -name Makefile.cmake -exec grep -ho '"/[^"]*"' {} + | tr -d '"'; }

# What the configuration looks for: it may want a header that nothing it builds includes.
looked_for_files() {
  cmake --trace-expand . 2>&1 >/dev/null | sed -n 's/^.*): *find_path(\([A-Za-z0-9_]*\) \([^ ]*\) .*/\1 \2/p' |
    while read -r variable name; do echo "$(cache_value "$variable")/$name"; done
  grep '^[A-Z0-9]*_LIBRARY:FILEPATH=/' CMakeCache.txt | cut -d= -f2
}

# Start files, libraries and linker scripts: each program is linked once more, and the linker names what it opens.
linked_files() {
  local link_file folder command
  while IFS= read -r link_file; do
    folder=${link_file%/CMakeFiles/*}
    command=$(head -1 "$link_file")
    case $command in
      *" -o "*) (cd "$folder" && sh -c "$command -Wl,--trace") | sed 's/^(\(.*\))$/\1/; s/^\(.*\.a\)(.*$/\1/' | grep '^/' ;;
    esac
  done < <(find . -path '*.dir/link.txt' | while IFS= read -r file; do
    target=$(sed -n 's/.* -o \([^ ]*\) .*/\1/p' "$file" | head -1)
    [ -n "$target" ] && [ -f "${file%/CMakeFiles/*}/$target" ] && echo "$file"
  done)
}

derive() {  # folder
  mkdir -p "$1"
  local folder here=$PWD
  folder=$(cd "$1" && pwd)
  rm -rf "$folder/source" "$folder/used"
  mkdir -p "$folder/source"
  copy_sources "$folder/source"
  [ -n "$(build_line)" ] || fail "$deploy_file has no build line"
  (cd "$folder/source" && env -i PATH="$PATH" HOME="$HOME" LANG=C sh -c "$(cd "$here" && build_line)") >"$folder/build.log" 2>&1 ||
    { tail -20 "$folder/build.log" >&2; fail "the build line of $deploy_file does not succeed"; }
  local build_folder
  build_folder=$(dirname "$(find "$folder/source" -name CMakeCache.txt | head -1)")
  local line
  line=$(build_line)
  (
    cd "$build_folder"
    build_line() { echo "$line"; }
    { programs | while IFS= read -r program; do command -v "$program" || echo "not found: $program"; done
      headers
      cmake_files
      looked_for_files
      linked_files
    } | grep -v -F "$folder/source" | sort -u >"$folder/used"
  )
  grep -q '^not found' "$folder/used" && fail "$(grep '^not found' "$folder/used")"
  echo "the build uses $(wc -l <"$folder/used") files of the system"
}

# ---- which packages own them

# Lines `file step`: the file itself and each symbolic link on the way to it, which may be another package's. With /usr
# merged, packages name the same file with /usr or without.
steps() {  # file with file names
  local file path target
  paste -d' ' "$1" <(xargs -d '\n' realpath -ms <"$1") <(xargs -d '\n' realpath -m <"$1") |
    while read -r file path target; do
      echo "$file $target"
      while [ -L "$path" ]; do
        echo "$file $path"
        target=$(readlink "$path")
        case $target in /*) ;; *) target=$(dirname "$path")/$target ;; esac
        path=$(realpath -ms "$target")
      done
      echo "$file $path"
    done | sed 'p; t; s: /usr/: /:; t; s: /: /usr/:'
}

# Lines `file package`; the package is `-` where none owns it.
owners() {  # file with file names
  steps "$1" >"$1.steps"
  cut -d' ' -f2 "$1.steps" | sort -u | xargs -r -d '\n' dpkg-query -S 2>/dev/null |
    grep -v '^diversion ' | sed 's/: \//\t\//' >"$1.found" || true
  awk -F'\t' 'NR == FNR { split($1, all, ", "); sub(/:.*/, "", all[1]); owner[$2] = all[1]; next }
    { split($0, pair, " "); seen[pair[1]] = 1
      if (pair[2] in owner) { print pair[1], owner[pair[2]]; owned[pair[1]] = 1 } }
    END { for (file in seen) if (!(file in owned)) print file, "-" }' "$1.found" "$1.steps" | sort -u
}

# The listed packages, the essential ones, and all that these depend on.
closure() {  # listed packages
  dpkg-query -W -f='${db:Status-Abbrev}\t${Package}\t${Essential}\t${Pre-Depends}, ${Depends}\t${Provides}\n' | grep '^ii' |
    awk -F'\t' -v listed="$*" '
      # The name without version, architecture and alternatives: apt takes the first of these.
      function name_of(text) { sub(/\|.*/, "", text); gsub(/\([^)]*\)|:[a-z0-9]+| /, "", text); return text }
      function add(name) { if (name != "" && !(name in covered)) { covered[name] = 1; queue[++last] = name } }
      { needs[$2] = $4
        if ($3 == "yes") add($2)
        count = split($5, names, ",")
        for (i = 1; i <= count; ++i) provider[name_of(names[i])] = $2 }
      END {
        count = split(listed, names, " ")
        for (i = 1; i <= count; ++i) add(names[i])
        for (first = 1; first <= last; ++first) {
          name = queue[first]
          if (!(name in needs) && (name in provider)) add(provider[name])
          count = split(needs[name], names, ",")
          for (i = 1; i <= count; ++i) add(name_of(names[i]))
        }
        for (name in covered) print name
      }' | sort
}

compare() {  # folder, deploy file
  [ -f "$1/used" ] || fail "$1/used is not there: derive it first"
  [ -f "$1/owners" ] || owners "$1/used" >"$1/owners"
  local packages
  packages=$(listed_packages "$2")
  [ -n "$packages" ] || fail "$2 lists no packages"
  closure $packages >"$1/covered"
  local missing
  missing=$(awk 'NR == FNR { covered[$1] = 1; next }
    !($2 in covered) && !told[$2]++ { print ($2 == "-" ? "no package owns " $1 : $2 " is not covered; the build uses " $1) }' \
    "$1/covered" "$1/owners")
  [ -z "$missing" ] && { echo "$2: $(echo $packages | wc -w) packages cover $(cut -d' ' -f2 "$1/owners" | sort -u | wc -l) that own what the build uses"; return; }
  echo "$missing" | sed "s:^:$2\: :" >&2
  return 1
}

case "${1:-}" in
  derive) derive "${2:?folder}" ;;
  compare) compare "${2:?folder}" "${3:-$deploy_file}" ;;
  *) sed -n '2,/^set/{/^#/s/^# \{0,1\}//p}' "$0"; exit 2 ;;
esac
