#!/usr/bin/env bash
# Plays the days of this folder, each on the sites that its line "# sites:" names (folders under $SITES), and prints a
# line each: day, site, rules broken, orders late or never acknowledged, anything else short of the gate.
# Exits 1 if one breaks or could not be played, 2 if it is called wrongly.
#
#   FLEETBENCH=... SITES=... lab/days/run.sh [AT_ONCE] [DAY-PREFIX] [SITE-PREFIX]
#
# AT_ONCE: days played side by side (1). DAY-PREFIX: as point3 (all). SITE-PREFIX: as control or grown/hsinmao (all).
# OPTIONS: more options of the bench, as "--no-cpu". WHY: the journal's line.
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
[[ -x ${FLEETBENCH:-} ]] || usage "FLEETBENCH must name the bench's program"
[[ -d ${SITES:-} ]] || usage "SITES must name the folder of the site files"
at_once=${1:-1}
[[ $at_once =~ ^[1-9][0-9]*$ ]] || usage "how many at once: a number from 1 on"
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
((${#pairs[@]})) || usage "no day and site fit"
cd "$here/../.."
printf '%s\0' "${pairs[@]}" | xargs -0 -n 2 -P "$at_once" "$here/run.sh" --play || exit 1
