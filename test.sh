#!/bin/sh
# Checks everything: formatting, vet, linters, build, tests under the race detector, the limits of the module.
set -eu
cd "$(dirname "$0")"

# The linters and formatters of .golangci.yml, in the versions of tools/go.mod; golangci-lint fmt formats.
lint() {
  go tool -modfile=tools/go.mod golangci-lint run --allow-parallel-runners
  (cd tools && go tool golangci-lint run --allow-parallel-runners)
}

# All tests but those of KNOWN-RED.txt, as go test -json prints them; and one more failure where go test itself fails, which
# the pipe would hide.
failed() { echo '{"Action":"fail","Package":"go test"}'; }
events() {
  red=$(bin/knownred packages)
  if [ -z "$red" ]; then
    go test -race -json ./... || failed
    return
  fi
  module=$(go list -m)
  go test -race -json $(go list ./... | grep -vxF "$(echo "$red" | sed "s|^|$module/|")") || failed
  for folder in $red; do
    go test -race -json -skip "$(bin/knownred skip "$folder")" "./$folder" || failed
  done
}

# All tests but those of KNOWN-RED.txt, which then run alone and have to fail (tools/knownred). The others are counted, so that
# none is lost without a word: lab/net/test-count has the least numbers (tools/testcount).
tests() {
  go -C tools vet ./...
  go -C tools test ./...
  mkdir -p bin
  go -C tools build -o ../bin/ ./knownred ./testcount
  events | bin/testcount -least lab/net/test-count -without "$(cat KNOWN-RED.txt 2>/dev/null | grep -c .)"
  if [ -s KNOWN-RED.txt ]; then
    bin/knownred run
  fi
}

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
lint
# As the platform builds: its bench loads a library into the router, which takes a dynamic loader.
sh -c "$(sed -n 's/^build = "\(.*\)".*/\1/p' deploy/balancer.toml)"
if ! LC_ALL=C ldd bin/notchhinge | grep -q 'libc\.so'; then
  echo "bin/notchhinge is not linked dynamically against the C library" >&2
  exit 1
fi
tests
