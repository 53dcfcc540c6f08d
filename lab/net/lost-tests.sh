#!/usr/bin/env bash
# Prints the tests of 38814e2 (lab/net/tests-before.txt) that the tree has no more, by their names and the names that
# lab/net/renamed-tests.txt gives them, and fails if there is one. A line there: package, old name, new name; several new
# names with commas or plus signs between, or a line each, where a test was split; "(new)" for the old name of a test that is new. A name
# that stood in several packages must stand as often.
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
