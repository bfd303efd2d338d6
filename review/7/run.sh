#!/usr/bin/env bash
# Case 7. Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.
# TROUBLE=0 does the same without the disruption. Needs the build of the deploy file and
# review/build-2.sh.
set -u
cd "$(dirname "$0")/../.." || exit 2
standin=target/review-7-standin
[ -x target/foxtail-platform ] && [ -x "$standin" ] || { echo "not built" >&2; exit 2; }
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
exec "$standin" -program target/foxtail-platform -record review/7/record.txt -trouble="$trouble"
