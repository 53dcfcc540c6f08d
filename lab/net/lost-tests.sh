#!/usr/bin/env bash
# Prints the tests of commit 38814e2 (lab/net/tests-before.txt) that no longer exist under their old name or under the names
# in lab/net/renamed-tests.txt, and fails if there are any. Each line of renamed-tests.txt has the package, the old name and the
# new name. A test that was split has several new names, separated by commas or plus signs, or a line for each. A new test has
# the old name "(new)". A name that occurred in several packages must still occur as often.
#
#   lab/net/lost-tests.sh
set -euo pipefail
cd "$(dirname "$0")/../.."
grep -rhoE '^func (Test|Fuzz|Example)[A-Za-z0-9_]*\(' --include='*_test.go' . | sed -E 's/^func //; s/\($//' |
  awk '
    FILENAME == "lab/net/tests-before.txt" { if ($1 !~ /^#/ && $2 !~ /\//) wanted[$2]++; next }
    FILENAME == "lab/net/renamed-tests.txt" {
      if ($1 ~ /^#/ || NF == 0 || $2 ~ /^Benchmark/) next
      if (wanted[$2] > 0) wanted[$2]--
      list = $3
      for (i = 4; i <= NF; i++) list = list "," $i
      n = split(list, names, /[,+]+/)
      for (i = 1; i <= n; i++) { wanted[names[i]]++; old[names[i]] = old[names[i]] " " $2 }
      next
    }
    { there[$1]++ }
    END {
      for (t in wanted)
        if (wanted[t] > there[t]) {
          print "lost: " t (old[t] ? " (before:" old[t] ")" : "")
          bad = 1
        }
      exit bad
    }' lab/net/tests-before.txt lab/net/renamed-tests.txt -
