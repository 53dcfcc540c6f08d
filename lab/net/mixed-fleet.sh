#!/usr/bin/env bash
# Plays a fleet on loopback of two builds of the router's program, through kills, a lost disk and changes of the
# configuration: every second process runs the other build, both ways round; first each machine keeps its build when it
# starts again, then it takes the other one. Exits 1 if a rule is broken or a configuration is not acknowledged.
#
#   lab/net/mixed-fleet.sh OLD NEW LAB
#
# OLD, NEW: the router's programs. LAB: the lab's program, of the newer build. SECONDS_EACH: of clients' requests (20).
# KEEP: a folder for the disks and logs of each play.
set -euo pipefail
[[ $# == 3 && -x $1 && -x $2 && -x $3 ]] || { echo "mixed-fleet.sh: programs OLD NEW LAB are wanted" >&2; exit 2; }
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
