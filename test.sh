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
mkdir -p bin
go build -o bin/ ./cmd/...
go test -race ./...
