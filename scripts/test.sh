#!/usr/bin/env bash
# Runs all tests with fixed seeds, those with crowds of clients last and on their own. The tests
# listed in KNOWN-RED.txt, which are printed, may fail, and no others.
set -euo pipefail
cd "$(dirname "$0")/.."

output=$(mktemp)
trap 'rm -f "$output"' EXIT
status=0
go test ./... -count=1 -timeout 180s "$@" 2>&1 | tee "$output" || status=$?
# These measure the memory of processes, so nothing runs beside them.
go test ./platform -tags crowd -run '^TestCrowd$' -count=1 -timeout 15m "$@" 2>&1 | tee -a "$output" || status=$?
known=$(grep -vE '^(#|$)' KNOWN-RED.txt | cut -d ' ' -f 1 || true)
if [ -n "$known" ]; then
	echo "known red, see KNOWN-RED.txt:"
	echo "$known"
fi
[ "$status" -eq 0 ] && exit 0
if grep -qE '^(panic:|FAIL.*\[build failed\]|.*WARNING: DATA RACE)' "$output"; then exit 1; fi
failed=$(grep -E '^ *--- FAIL: ' "$output" | sed -E 's/^ *--- FAIL: ([^ ]+).*/\1/' | sort -u)
[ -n "$failed" ] || exit 1
for f in $failed; do
	covered=no
	for k in $known; do
		# A parent test fails if a subtest that is known red fails.
		case "$k" in "$f" | "$f"/*) covered=yes ;; esac
	done
	if [ "$covered" = no ]; then
		echo "failed and not known red: $f"
		exit 1
	fi
done
echo "only known red tests failed"
