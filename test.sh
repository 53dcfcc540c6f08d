#!/bin/sh
# Runs all checks: formatting, vet, linters, build, tests under the race detector, and the size limits of the policy module.
set -eu
cd "$(dirname "$0")"

# Runs the linters of .golangci.yml in the versions of tools/go.mod. golangci-lint fmt fixes the formatting.
lint() {
  go tool -modfile=tools/go.mod golangci-lint run --allow-parallel-runners
  (cd tools && go tool golangci-lint run --allow-parallel-runners)
}

# Prints the go test -json output of all tests that KNOWN-RED.txt does not list. If go test fails, an event of a failed package
# follows, because the pipe hides the exit code.
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

# Runs all tests that KNOWN-RED.txt does not list, then each listed one alone, which must fail (tools/knownred). At least as many
# tests as lab/net/test-count requires must run, so that no test disappears unnoticed (tools/testcount).
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
  echo "policy/policy.go has $lines lines that are not blank; the limit is 940" >&2
  exit 1
fi
# A tab counts as one character, as in the platform's bench.
if awk 'length($0) > 110 { print FILENAME ":" FNR ": longer than 110 characters"; bad = 1 } END { exit !bad }' policy/*.go; then
  exit 1
fi
go vet ./...
lint
# Builds as the platform does. Its bench loads a library into the router, which needs the dynamic loader.
sh -c "$(sed -n 's/^build = "\(.*\)".*/\1/p' deploy/balancer.toml)"
if ! LC_ALL=C ldd bin/notchhinge | grep -q 'libc\.so'; then
  echo "bin/notchhinge is not linked dynamically against the C library" >&2
  exit 1
fi
tests
