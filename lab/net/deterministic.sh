#!/usr/bin/env bash
# Runs deterministic notchlab commands and prints for each a digest of the numbers in its output, in their order, so that
# only a change of a figure changes the digest. With FILE, compares the lines with those of the file and fails if they differ.
#
#   lab/net/deterministic.sh LAB [FILE]
#
# LAB: path of notchlab. FILE: for example lab/net/deterministic.txt, which the build of commit 38814e2 wrote. ONLY: a pattern
# that selects commands by name. SHOW=1 prints the numbers instead of their digests. The command "check" is not included: its
# disk walks count steps of the database's background work, which differ from run to run.
set -euo pipefail
[[ -x ${1:-} ]] || { echo "usage: deterministic.sh LAB [FILE]; LAB must be an executable file" >&2; exit 2; }
lab=$(realpath "$1") file=${2:+$(realpath "$2")}
cd "$(dirname "$0")/../.."

# numbers prints each number of a text on a line of its own, including numbers with a unit (12.5s). Words that contain digits
# are skipped.
numbers() {
  LC_ALL=C sed -E 's/([0-9])-/\1 /g' | LC_ALL=C tr -cs '0-9A-Za-z_.%+-' '\n' |
    LC_ALL=C sed -E 's/\.+$//' | LC_ALL=C grep -E '^[-+]?[0-9]+(\.[0-9]+)?(%|ms|[hms]([0-9.]+m?s)*)?$' || true
}

# unitless removes durations, which depend on the speed of the machine.
unitless() { grep -v '[hms]$' || true; }

# play runs a command and prints its name, its exit code, the count of numbers in its output, and their digest.
play() { # NAME FILTER ARGUMENTS
  local name=$1 filter=$2 out code=0
  [[ $name =~ ${ONLY:-} ]] || return 0
  out=$("$lab" "${@:3}" 2>/dev/null) || code=$?
  out=$("$filter" <<<"$out")
  if [[ -n ${SHOW:-} ]]; then
    echo "$name: exit code $code"
    echo "$out"
  else
    echo "$name $code $(wc -l <<<"$out") $(sha256sum <<<"$out" | cut -c 1-32)"
  fi
}

figures() { numbers; }
hunted() { numbers | unitless; }

all() {
  play hunt hunted hunt --days 12 --first 1
  play hunt-large hunted hunt --days 3 --first 500 --routers 40 --engines 80
  play hunt-seven hunted hunt --days 4 --first 9000 --keepers 7 --tolerate 3
  play sim figures sim --routers 4 --engines 8 --seconds 5 --seeds 1,2
  play sim-crash figures sim --routers 6 --engines 12 --seconds 5 --seeds 3 --crash 0.2 --cold --output json
  play compare-draw figures compare lab/simulated/draw.toml --seeds 1
  play compare-chunks figures compare lab/simulated/chunks.toml --seeds 1
  play capacity figures capacity --routers 8,16 --engines 16,32
  play recover figures recover --routers 11 --engines 22 --seeds 2
  for day in internal/lab/*/testdata/*.toml; do
    play "replay-$(basename "$day" .toml)" figures replay "$day"
  done
}

if [[ -z $file ]]; then
  all
  exit
fi
bad=0 played=0
while read -r line; do
  if [[ $line == end ]]; then
    [[ $played == $(wc -l <"$file") ]] || { echo "DIFFERENT: $played commands ran, but $file has a different number of lines"; bad=1; }
    continue
  fi
  played=$((played + 1))
  if grep -qxF "$line" "$file"; then
    echo "same: $line"
  else
    echo "DIFFERENT: $line"
    bad=1
  fi
done < <(all; [[ -n ${ONLY:-} ]] || echo "end")
exit "$bad"
