#!/usr/bin/env bash
# Builds the stand-ins that the scripts start, into target/. The hosts come from the build of the
# deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -tags review -o target/review-standin ./review/standin
