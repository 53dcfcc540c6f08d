#!/bin/sh
# Builds the program as the deploy file says, and the stand-ins of the review, into target/. Needs no network.
set -eu
cd "$(dirname "$0")/.."
sh -c "$(sed -n 's/^build = "\(.*\)".*/\1/p' deploy/system.toml)"
go build -C review/standins -o ../../target/review-case .
