#!/usr/bin/env bash
# Runs benchmarks of two worktrees alternately and prints their results side by side: the medians of time, bytes and
# allocations per operation, and the ratio of the new median to the old one.
#
#   lab/net/bench.sh OLD_WORKTREE NEW_WORKTREE [LIST]
#
# LIST (default lab/net/bench.txt): each line has the old package, the old benchmark and, if they differ, the new package and
# the new benchmark; a benchmark is a pattern for -test.bench. A line "= OLD NEW" replaces OLD by NEW in the names of
# sub-benchmarks of the old worktree. Lines that begin with # are comments.
# ROUNDS: number of runs of each benchmark (default 5). BENCHTIME: duration of each run (default 300ms).
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
[[ -f ${1:-}/go.mod && -f ${2:-}/go.mod ]] || { echo "bench.sh: usage: bench.sh OLD_WORKTREE NEW_WORKTREE [LIST]; both must contain go.mod" >&2; exit 2; }
old=$(realpath "$1") new=$(realpath "$2") list=${3:-$here/bench.txt}
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT

build() { # TREE PACKAGE: builds the package's test program, unless it exists, and prints its path
  local out
  out=$dir/$(basename "$1")-$(tr / _ <<<"$2").$(cksum <<<"$1" | cut -d' ' -f1)
  [[ -x $out ]] || (cd "$1" && go test -c -o "$out" "./$2") >&2
  echo "$out"
}

bench() { # SIDE TREE PACKAGE BENCHMARK KEY: appends a line "key/sub side ns B allocs" to the results for each result
  local program out
  program=$(build "$2" "$3") || { failed=1; return; }
  out=$(cd "$2/$3" && "$program" -test.run '^$' -test.bench "^$4\$" -test.benchmem -test.benchtime "${BENCHTIME:-300ms}" 2>&1) || {
    failed=1
    printf 'bench.sh: %s of the %s worktree fails\n%s\n' "$5" "$1" "$out" >&2
  }
  awk -v side="$1" -v key="$5" -v parts="$parts" '/^Benchmark/ && / ns\/op/ {
      name = $1; sub(/-[0-9]+$/, "", name); sub(/^[^\/]*/, "", name)
      n = split(parts, names, " ")
      for (i = 1; side == "old" && i < n; i += 2) sub(names[i], names[i+1], name)
      ns = bytes = allocs = 0
      for (i = 2; i < NF; i++) {
        if ($(i+1) == "ns/op") ns = $i
        if ($(i+1) == "B/op") bytes = $i
        if ($(i+1) == "allocs/op") allocs = $i
      }
      print key name, side, ns, bytes, allocs
    }' <<<"$out" >>"$dir/results"
}

failed=0
parts=$(sed -n 's/^= //p' "$list" | tr '\n' ' ')
for _ in $(seq "${ROUNDS:-5}"); do
  while read -r package benchmark package2 benchmark2; do
    [[ -z $package || $package == [#=]* ]] && continue
    key=${package2:-$package}/${benchmark2:-$benchmark}
    bench old "$old" "$package" "$benchmark" "$key"
    bench new "$new" "${package2:-$package}" "${benchmark2:-$benchmark}" "$key"
  done <"$list"
done

awk '
  function median(key, side, what,   n, i, j, all, x) {
    n = split(values[key, side, what], all, " ")
    for (i = 2; i <= n; i++)
      for (j = i; j > 1 && all[j] + 0 < all[j-1] + 0; j--) { x = all[j]; all[j] = all[j-1]; all[j-1] = x }
    return n % 2 ? all[(n+1)/2] : (all[n/2] + all[n/2+1]) / 2
  }
  function share(x, y) { return x > 0 ? sprintf("%.3f", y / x) : (y > 0 ? "more" : "1.000") }
  {
    if (!($1 in seen)) { seen[$1] = 1; order[++count] = $1 }
    runs[$1, $2]++
    values[$1, $2, "ns"] = values[$1, $2, "ns"] " " $3
    values[$1, $2, "B"] = values[$1, $2, "B"] " " $4
    values[$1, $2, "allocs"] = values[$1, $2, "allocs"] " " $5
  }
  END {
    printf "%-64s %12s %12s %7s %11s %11s %7s %10s %10s %7s\n", "benchmark", "ns old", "ns new", "new/old", "B old", "B new", "new/old", "allocs old", "allocs new", "new/old"
    for (i = 1; i <= count; i++) {
      key = order[i]
      if (!runs[key, "old"] || !runs[key, "new"]) { printf "%-64s in one worktree only\n", key; continue }
      printf "%-64s", key
      split("ns B allocs", kinds, " ")
      for (k = 1; k <= 3; k++) {
        x = median(key, "old", kinds[k]); y = median(key, "new", kinds[k])
        printf " %*.0f %*.0f %7s", 13 - k, x, 13 - k, y, share(x, y)
      }
      print ""
    }
  }' "$dir/results"
exit "$failed"
