#!/usr/bin/env bash
# Starts the stand-ins, three gates and three entries as separate processes,
# runs a query, a booking and a few operator commands, and stops everything
# gracefully. Then it runs the soak test, without injected faults, on four hosts of
# foxtail-platform with stand-ins for the users' platform. The exit code is 0 only if
# all of it worked.
set -euo pipefail
cd "$(dirname "$0")/.."

work=$(mktemp -d)
declare -A pids=()

# Each run reserves a block of ports by creating a folder, which it deletes at its end,
# so that no two runs on one machine use the same ports.
base=""
for block in $(seq 0 39); do
	if mkdir "${TMPDIR:-/tmp}/foxtail-demo-ports-$block" 2>/dev/null; then
		base=$((10000 + block * 140))
		lock="${TMPDIR:-/tmp}/foxtail-demo-ports-$block"
		break
	fi
done
if [ -z "$base" ]; then
	echo "every block of ports is taken; remove stale ${TMPDIR:-/tmp}/foxtail-demo-ports-*"
	exit 1
fi

finish() {
	code=$?
	for name in "${!pids[@]}"; do
		kill -KILL "${pids[$name]}" 2>/dev/null || true
	done
	if [ "$code" -ne 0 ]; then
		echo "demo FAILED; last log lines:"
		tail -n 5 "$work"/*.log || true
	fi
	rm -rf "$work" "$lock"
	exit "$code"
}
trap finish EXIT

# Moves the example's upstreams, which listen on ports from 21000, to the block.
awk -v base="$((base + 45))" '{
	while (match($0, /127\.0\.0\.1:21[0-9]+/)) {
		port = substr($0, RSTART + 10, RLENGTH - 10) - 21000 + base
		$0 = substr($0, 1, RSTART - 1) "LOOPBACK:" port substr($0, RSTART + RLENGTH)
	}
	gsub("LOOPBACK", "127.0.0.1")
	print
}' examples/velkaneuvo.jsonc >"$work/catalog.jsonc"

echo "== build"
go build -o "$work/bin/" ./cmd/...
ctl=("$work/bin/foxtailctl" --store 127.0.0.1:$((base + 1)) --host-list 127.0.0.1:$((base + 2)))

hosts=""
for i in 1 2 3; do
	hosts+="{\"name\":\"host-$i\",\"data-center\":\"fi-south-$i\",\"entry-address\":\"127.0.0.1:$((base + 10 + i))\",\"gate-address\":\"127.0.0.1:$((base + 20 + i))\"},"
	cat >"$work/gate-$i.jsonc" <<JSON
{
  "host": "host-$i", "data-center": "fi-south-$i",
  "listen": "127.0.0.1:$((base + 20 + i))", "entry-address": "127.0.0.1:$((base + 10 + i))", "operations-listen": "127.0.0.1:$((base + 40 + i))",
  "store": "127.0.0.1:$((base + 1))", "host-list": "127.0.0.1:$((base + 2))",
  "hedge-percent": 3, "warm-milliseconds": 5000, "log-level": "info",
}
JSON
	cat >"$work/entry-$i.jsonc" <<JSON
{
  "host": "host-$i", "data-center": "fi-south-$i",
  "listen": "127.0.0.1:$((base + 10 + i))", "operations-listen": "127.0.0.1:$((base + 30 + i))", "gate": "127.0.0.1:$((base + 20 + i))",
  "store": "127.0.0.1:$((base + 1))", "host-list": "127.0.0.1:$((base + 2))",
  "address-time-to-live-milliseconds": 2000, "log-level": "info",
}
JSON
done
cat >"$work/standin.jsonc" <<JSON
{
  "operations-listen": "127.0.0.1:$((base + 0))", "store": "127.0.0.1:$((base + 1))", "host-list": "127.0.0.1:$((base + 2))",
  "host-lag-milliseconds": 1000, "hosts": [$hosts],
  "catalog": "$work/catalog.jsonc", "version": 1, "log-level": "info",
}
JSON

launch() { # arguments: name of the settings and log files, program
	"$work/bin/$2" --settings "$work/$1.jsonc" 2>"$work/$1.log" &
	pids[$1]=$!
}

await() { # arguments: label, URL; tries up to 100 times until the URL responds
	for _ in $(seq 100); do
		if curl -fsS --max-time 1 "$2" >/dev/null 2>&1; then return 0; fi
		sleep 0.1
	done
	echo "$1 is not ready"
	return 1
}

expect() { # arguments: label, pattern, text
	if ! grep -q -- "$2" <<<"$3"; then
		echo "expected $1 ($2) in: $3"
		return 1
	fi
}

echo "== start"
launch standin foxtail-standin
await stand-ins http://127.0.0.1:$((base + 2))/v1/hosts
for i in 1 2 3; do launch "gate-$i" foxtail-gate; done
for i in 1 2 3; do launch "entry-$i" foxtail-entry; done
for i in 1 2 3; do
	await "gate $i" "http://127.0.0.1:$((base + 40 + i))/v1/readyz"
	await "entry $i" "http://127.0.0.1:$((base + 30 + i))/v1/readyz"
done

echo "== configure (dry run, then for good)"
"${ctl[@]}" do --dry-run "apply file $work/catalog.jsonc" | tail -n 4
"${ctl[@]}" do "apply file $work/catalog.jsonc" | tail -n 2
"${ctl[@]}" do "show hosts"

echo "== addresses"
for _ in $(seq 100); do
	# The gates may not have discovered each other yet.
	addresses=$(curl -fsS "http://127.0.0.1:$((base + 11))/v1/addresses?data-center=fi-south-2")
	if [ "$(grep -oE ":$((base / 10 + 1))[0-9]" <<<"$addresses" | wc -l)" -eq 3 ]; then break; fi
	sleep 0.1
done
echo "$addresses"
expect "the nearest entry first" '"addresses":\["127.0.0.1:'"$((base + 12))"'"' "$addresses"

ask() { # arguments: port of an entry, service, body
	curl -sS --max-time 10 -X POST "http://127.0.0.1:$1/v1/services/$2/requests" -d "$3"
}

echo "== a query over all ten shards"
answer=""
for _ in $(seq 50); do
	answer=$(ask "$((base + 12))" console '{"request-id":"demo-query","kind":"history-search","query":{"name":"Virtanen"}}')
	if grep -q '"status":"complete"' <<<"$answer"; then break; fi
	sleep 0.1
done
echo "$answer" | cut -c 1-220
expect "a complete answer" '"status":"complete","coverage":1,"snapshot":{"version":1,"map":"m1"}' "$answer"
[ "$(grep -o '"shard":"s[0-9]*",' <<<"$answer" | wc -l)" -eq 10 ]

echo "== a booking, sent twice to different entries"
first=$(ask "$((base + 11))" booking-site '{"request-id":"demo-booking","kind":"booking","key":"2026-12-04T10:00","query":{"household":17}}')
second=$(ask "$((base + 13))" booking-site '{"request-id":"demo-booking","kind":"booking","key":"2026-12-04T10:00","query":{"household":17}}')
echo "$first" | cut -c 1-160
expect "a complete booking" '"status":"complete"' "$first"
expect "the stored answer" '"from-earlier-run":true' "$second"
runs=$(curl -fsS "http://127.0.0.1:$((base + 45 + 75))/runs?service=booking-site&request=demo-booking")
echo "runs on the upstreams: $runs"
[ "$runs" -eq 1 ]

echo "== state and time line"
"${ctl[@]}" --plain do "show upstreams where service = booking-site"
"${ctl[@]}" --plain do --operations 127.0.0.1:$((base + 31)),127.0.0.1:$((base + 32)),127.0.0.1:$((base + 33)) "show requests where answered ~ complete"
lines=$("${ctl[@]}" timeline --request demo-query \
	--operations 127.0.0.1:$((base + 31)),127.0.0.1:$((base + 32)),127.0.0.1:$((base + 33)),127.0.0.1:$((base + 41)),127.0.0.1:$((base + 42)),127.0.0.1:$((base + 43)))
grep -E 'admitted|pinned|answered' <<<"$lines"
expect "ten shards in the time line" shard-done "$lines"

echo "== stop gracefully while queries run"
: >"$work/load"
load() {
	for n in $(seq 60); do
		ask "$((base + 13))" console "{\"kind\":\"history-search\",\"query\":{\"n\":$n}}" | grep -o '"status":"[a-z-]*"' >>"$work/load"
		sleep 0.05
	done
}
load &
loader=$!
for name in entry-1 gate-1 entry-2 gate-2; do kill -TERM "${pids[$name]}"; done
wait "$loader"
for name in entry-1 gate-1 entry-2 gate-2; do
	wait "${pids[$name]}"
	unset "pids[$name]"
done
echo "answers while two of three hosts left: $(sort "$work/load" | uniq -c | tr '\n' ' ')"
[ "$(grep -c complete "$work/load")" -eq 60 ]
refused=$(curl -fsS http://127.0.0.1:$((base + 0))/metrics | grep '^standin_refused_connections_total' | grep -cv ' 0$' || true)
echo "upstreams that had to refuse a connection beyond their limit: $refused"
[ "$refused" -eq 0 ]
for name in entry-3 gate-3 standin; do
	kill -TERM "${pids[$name]}"
	wait "${pids[$name]}"
	unset "pids[$name]"
done
violations=$(cat "$work"/*.log | grep -c '"rule"' || true)
[ "$violations" -eq 0 ]

echo "== one program a host, on stand-ins for the users' platform: two of four hosts stop in turn"
go test ./platform -run TestSoak -count=1 -soak-length 1ns -v | grep -E 'served|^ok|FAIL'
echo "demo OK: every request answered, every process stopped by itself, no invariant violated"
