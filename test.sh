#!/bin/sh
# Checks everything: formatting, vet, build, tests under the race detector, the limits of the module.
set -eu
cd "$(dirname "$0")"
unformatted=$(gofmt -l .)
if [ -n "$unformatted" ]; then
  echo "not formatted by gofmt: $unformatted" >&2
  exit 1
fi
lines=$(grep -c '[^[:space:]]' policy/policy.go)
if [ "$lines" -gt 940 ]; then
  echo "policy/policy.go has $lines lines that are not blank; 940 at most" >&2
  exit 1
fi
# gofmt indents by tabs; a reader's tab is counted as one character, as in the bench.
if awk 'length($0) > 110 { print FILENAME ":" FNR ": over 110 characters"; bad = 1 } END { exit !bad }' policy/*.go; then
  exit 1
fi
go vet ./...
# As the platform builds: its bench loads a library into the router, which takes a dynamic loader.
sh -c "$(sed -n 's/^build = "\(.*\)".*/\1/p' deploy/balancer.toml)"
if ! LC_ALL=C ldd bin/notchhinge | grep -q 'libc\.so'; then
  echo "bin/notchhinge is not linked dynamically against the C library" >&2
  exit 1
fi
go test -race ./...
