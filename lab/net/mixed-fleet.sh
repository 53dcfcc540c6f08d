#!/usr/bin/env bash
# Runs a fleet on loopback in which every second process runs another build of notchhinge, with killed processes, a lost disk
# and configuration changes. It runs four times: with either build first, and with restarted processes that keep their build or
# switch to the other one. Exits 1 if a rule is broken or a configuration is not acknowledged.
#
#   lab/net/mixed-fleet.sh OLD NEW LAB
#
# OLD, NEW: paths of the two notchhinge builds. LAB: path of notchlab, of the newer build. SECONDS_EACH: seconds during which
# clients send requests in each run (default 20). KEEP: directory that keeps the data directories and logs of the runs.
set -euo pipefail
[[ $# == 3 && -x $1 && -x $2 && -x $3 ]] || { echo "usage: mixed-fleet.sh OLD NEW LAB; each must be an executable file" >&2; exit 2; }
old=$(realpath "$1") new=$(realpath "$2") lab=$(realpath "$3")
failed=0

play() { # NAME FIRST SECOND [OPTIONS]
  local name=$1 first=$2 second=$3 out code=0
  out=$("$lab" fleet --router "$first" --mixed "$second" --seconds "${SECONDS_EACH:-20}" ${KEEP:+--keep "$KEEP/$name"} "${@:4}" 2>&1) || code=$?
  if ((code)) || ! grep -q 'revision 3 is acknowledged' <<<"$out"; then
    echo "$name: FAILED (exit code $code)"
    echo "$out"
    failed=1
    return
  fi
  echo "$name: $(grep '^asked' <<<"$out"); no rule was broken"
}

play old-with-new-kept "$old" "$new"
play new-with-old-kept "$new" "$old"
play old-with-new-exchanged "$old" "$new" --exchange
play new-with-old-exchanged "$new" "$old" --exchange
exit "$failed"
