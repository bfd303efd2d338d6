GO ?= go
TOOL = $(GO) tool -modfile=tools.mod

.PHONY: demo test lint matrix soak soak-processes bench-policy bench-capacity

## demo: start everything on loopback, ask, book, stop; exit code 0 if all went well
demo:
	scripts/demo.sh

## test: all tests with fixed seeds
test:
	scripts/test.sh

## lint: formatter, vet and static analysis
lint:
	@unformatted=$$($(TOOL) gofumpt -l cmd internal platform | grep -v pb.go); if [ -n "$$unformatted" ]; then echo "not formatted: $$unformatted"; exit 1; fi
	$(GO) vet ./...
	$(TOOL) staticcheck ./...

## matrix: every fault, one and in pairs, at every step
matrix:
	$(GO) test ./internal/fleettest -run 'TestFaultMatrix|TestControlMatrix' -count=1 -timeout 30m -v -pairs

## soak: long random runs; SEEDS is how many
SEEDS ?= 40
soak:
	$(GO) test ./internal/fleettest -run TestRandomRuns -count=1 -timeout 60m -v -seeds $(SEEDS)

## soak-processes: real hosts as processes with faults from outside, SEEDS seeds from FIRST on
FIRST ?= 1
soak-processes:
	$(GO) test ./platform -run TestSoak -count=1 -timeout 60m -parallel 4 -soak-seeds $(SEEDS) -soak-first $(FIRST)

## bench-policy: policies against each other at the sizes of both deployments
bench-policy:
	$(GO) test ./internal/fleettest -run TestPolicies -count=1 -timeout 60m -v -policies

## bench-capacity: the slopes behind docs/CAPACITY.md
bench-capacity:
	$(GO) test ./... -run '^$$' -bench . -benchmem -benchtime 1s
