#!/usr/bin/env bash
# Runs commands of the lab whose figures follow from their seeds alone, and prints for each a digest of the numbers in its
# output, in their order: words may change, figures may not. Compared with a file of such lines it fails on a difference.
#
#   lab/net/deterministic.sh LAB [FILE]
#
# LAB: the lab's program. FILE: as lab/net/deterministic.txt, which was made by the program at 38814e2. ONLY: a pattern of
# names, for some of the commands. SHOW=1 prints the numbers instead of their digests. "check" is not among them: its walks
# over disks count steps of the database's own work beside it, which differ from run to run.
set -euo pipefail
[[ -x ${1:-} ]] || { echo "deterministic.sh: the lab's program is wanted" >&2; exit 2; }
lab=$(realpath "$1") file=${2:+$(realpath "$2")}
cd "$(dirname "$0")/../.."

# numbers prints the numbers of a text, a line each, those with a unit among them (12.5s). A word that holds digits is none.
numbers() {
  LC_ALL=C sed -E 's/([0-9])-/\1 /g' | LC_ALL=C tr -cs '0-9A-Za-z_.%+-' '\n' |
    LC_ALL=C sed -E 's/\.+$//' | LC_ALL=C grep -E '^[-+]?[0-9]+(\.[0-9]+)?(%|ms|[hms]([0-9.]+m?s)*)?$' || true
}

# unitless drops times: what is left tells nothing of how long it took here.
unitless() { grep -v '[hms]$' || true; }

# play prints a line: name, exit code, how many numbers, and their digest.
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
    [[ $played == $(wc -l <"$file") ]] || { echo "DIFFERENT: $played commands were played, $file has others"; bad=1; }
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
