#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start, into target/. The hosts come from
# the build of the deploy file. Case 6 is a day for the bench, which starts none.
set -eu
cd "$(dirname "$0")/.."
go build -tags review -o target/review-7-standin ./review/7/standin
