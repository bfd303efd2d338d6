package command

import (
	"bufio"
	"flag"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const loadCallerCount = 96

var loadDuration = flag.Duration("load", 0, "how long to measure real processes under load")

// TestRealLoad measures the CPU time that the entries and the gates need per query
// of 4 shards. loadCallerCount callers send queries for loadDuration, each its next
// query as soon as the previous one is answered.
func TestRealLoad(t *testing.T) {
	if *loadDuration == 0 {
		t.Skip("measures only with -load")
	}
	f := startProcesses(t, 16)
	f.awaitComplete(0)
	time.Sleep(4 * time.Second)
	before := f.sumCPUSeconds()
	var complete, other atomic.Int64
	var callers sync.WaitGroup
	deadline := time.Now().Add(*loadDuration)
	for caller := range loadCallerCount {
		callers.Go(func() {
			for n := 0; time.Now().Before(deadline); n++ {
				if f.query(caller%fleetHostCount, fmt.Sprintf(`{"kind": "search", "query": "%d-%d"}`, caller, n)) == "complete" {
					complete.Add(1)
				} else {
					other.Add(1)
				}
			}
		})
	}
	callers.Wait()
	after := f.sumCPUSeconds()
	queries := complete.Load() + other.Load()
	t.Logf("%d queries of 4 shards, %d complete, %.0f a second", queries, complete.Load(), float64(queries)/loadDuration.Seconds())
	for _, role := range []string{"entry", "gate"} {
		t.Logf("%s: %.0f us a query, all %d processes", role, 1e6*(after[role]-before[role])/float64(queries), fleetHostCount)
	}
}

// sumCPUSeconds returns the CPU time used by all entries and by all gates, in
// seconds. The keys are "entry" and "gate".
func (f *processFleet) sumCPUSeconds() map[string]float64 {
	sums := make(map[string]float64)
	for role, addresses := range map[string][]string{"entry": f.entryOperationsAddresses, "gate": f.gateOperationsAddresses} {
		for _, address := range addresses {
			sums[role] += f.fetchMetric(address, "process_cpu_seconds_total")
		}
	}
	return sums
}

func (f *processFleet) fetchMetric(address, name string) float64 {
	response, err := http.Get("http://" + address + "/metrics")
	if err != nil {
		f.t.Fatal(err)
	}
	defer response.Body.Close()
	for lines := bufio.NewScanner(response.Body); lines.Scan(); {
		if value, ok := strings.CutPrefix(lines.Text(), name+" "); ok {
			number, err := strconv.ParseFloat(value, 64)
			if err != nil {
				f.t.Fatal(err)
			}
			return number
		}
	}
	f.t.Fatalf("%s has no metric %s", address, name)
	return 0
}
