#!/usr/bin/env bash
# Runs the scenarios of this directory ("days") in the platform's bench, each on the sites in the directories under $SITES that
# its line "# sites:" lists. Prints a line for each run: day, site, rules broken, orders that were acknowledged late or never,
# and other shortfalls of the gate. Exits 1 if a run has any of these or failed, 2 on wrong usage.
#
#   FLEETBENCH=... SITES=... lab/days/run.sh [AT_ONCE] [DAY-PREFIX] [SITE-PREFIX]
#
# FLEETBENCH: path of the bench. SITES: directory of the site files. AT_ONCE: number of parallel runs (default 1).
# DAY-PREFIX: for example point3 (default all). SITE-PREFIX: for example control or grown/hsinmao (default all).
# OPTIONS: further options for the bench, for example "--no-cpu". WHY: text of the run's journal entry.
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)

usage() { echo "run.sh: $1" >&2; exit 2; }

play() { # DAY SITE
  local day=$1 site=$2 name place out
  name=$(basename "$day" .toml)
  place=$(basename "$(dirname "$site")")/$(basename "$site" .toml)
  # shellcheck disable=SC2086 # OPTIONS holds several words
  out=$("$FLEETBENCH" run "$site" "$day" --jobs 1 --why "${WHY:-regression: days of our own}" ${OPTIONS:-} 2>&1) || true
  if ! grep -q "^$name " <<<"$out"; then
    echo "$name $place NOT PLAYED: $(tail -n 1 <<<"$out")"
    return 1
  fi
  local broken late short
  broken=$(sed -n 's/^rules broken: //p' <<<"$out")
  late=$(grep -oE 'sent at [0-9.]+ s, (had no ack|was never acked)' <<<"$out" | grep -oE '[0-9.]+ s' | sort -u | wc -l) || true
  short=$(grep '^short of the gate: ' <<<"$out" | grep -vcE 'sent at [0-9.]+ s, had no ack' || true)
  echo "$name $place broken: ${broken:-none}, orders late: $late, other shortfalls of the gate: $short"
  [[ -z $broken && $late == 0 && $short == 0 ]]
}

if [[ ${1:-} == --play ]]; then
  play "$2" "$3"
  exit
fi
[[ -x ${FLEETBENCH:-} ]] || usage "FLEETBENCH must be the path of the bench's executable"
[[ -d ${SITES:-} ]] || usage "SITES must be the directory of the site files"
at_once=${1:-1}
[[ $at_once =~ ^[1-9][0-9]*$ ]] || usage "AT_ONCE must be a number of at least 1"
FLEETBENCH=$(realpath "$FLEETBENCH") SITES=$(realpath "$SITES")
export FLEETBENCH
pairs=()
for day in "$here/${2:-}"*.toml; do
  for folder in $(sed -n 's/^# sites: //p' "$day"); do
    for site in "$SITES/$folder"/*.toml; do
      [[ -f $site && $folder/$(basename "$site") == "${3:-}"* ]] && pairs+=("$day" "$site")
    done
  done
done
((${#pairs[@]})) || usage "no day and site match the prefixes"
cd "$here/../.."
printf '%s\0' "${pairs[@]}" | xargs -0 -n 2 -P "$at_once" "$here/run.sh" --play || exit 1
