GO ?= go
TOOL = $(GO) tool -modfile=tools.mod

.PHONY: demo test crowd race lint matrix soak soak-processes bench-policy bench-capacity

## demo: runs all programs on loopback with a query and a booking, and stops them; exit code 0 only if all of it worked
demo:
	scripts/demo.sh

## test: runs all tests with fixed seeds
test:
	scripts/test.sh

## crowd: presses a host with clients that don't behave; nothing else should run beside it
crowd:
	$(GO) test ./platform -tags crowd -run '^TestCrowd$$' -count=1 -timeout 15m -v

## race: runs the short tests of the host program's decisions with the race detector; needs a C compiler
race:
	$(GO) test -race -short ./internal/admission ./internal/budget ./internal/dispatch ./internal/inventory ./internal/membership ./internal/mirror ./internal/pool ./internal/quarantine ./internal/reachability ./internal/roster ./internal/routing ./internal/upstream

## lint: checks the formatting and runs vet and static analysis
lint:
	@unformatted=$$($(TOOL) gofumpt -l cmd internal platform | grep -v pb.go); if [ -n "$$unformatted" ]; then echo "not formatted: $$unformatted"; exit 1; fi
	$(GO) vet ./...
	$(GO) vet -tags crowd ./platform
	$(TOOL) staticcheck ./...

## matrix: injects every fault, alone and in pairs, at every injection point
matrix:
	$(GO) test ./internal/fleettest -run 'TestFaultMatrix|TestControlMatrix' -count=1 -timeout 30m -v -pairs

## soak: runs a simulated fleet with random faults and requests, SEEDS runs with one seed each
SEEDS ?= 40
soak:
	$(GO) test ./internal/fleettest -run TestRandomRuns -count=1 -timeout 60m -v -seeds $(SEEDS)

## soak-processes: runs hosts as processes with faults injected from outside, SEEDS seeds starting with FIRST
FIRST ?= 1
soak-processes:
	$(GO) test ./platform -run TestSoak -count=1 -timeout 60m -parallel 4 -soak-seeds $(SEEDS) -soak-first $(FIRST)

## bench-policy: compares policies at the sizes of both deployments
bench-policy:
	$(GO) test ./internal/fleettest -run TestPolicies -count=1 -timeout 60m -v -policies

## bench-capacity: runs the benchmarks that measure the slopes in docs/CAPACITY.md
bench-capacity:
	$(GO) test ./... -run '^$$' -bench . -benchmem -benchtime 1s
