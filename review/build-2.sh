#!/bin/sh
# Builds the stand-ins that the scripts of review/4 and later start. Run it after the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")/standin-2"
mkdir -p ../../target/review-2
CGO_ENABLED=0 GOFLAGS=-mod=mod GOPROXY=off go build -o ../../target/review-2/ .
