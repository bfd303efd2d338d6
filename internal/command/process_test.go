package command

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/foxtailshelf/foxtailshelf/internal/process"
	"github.com/foxtailshelf/foxtailshelf/internal/work"
)

// processFleet is a fleet of real processes that listen on loopback addresses.
type processFleet struct {
	t                                                  *testing.T
	dir                                                string
	storeAddress, hostListAddress, lastUpstreamAddress string
	entryAddresses, gateAddresses                      []string
	entryOperationsAddresses, gateOperationsAddresses  []string
	upstreamAddresses                                  []string
	processes                                          map[string]*exec.Cmd
	slots                                              int
}

const fleetHostCount = 3

func startProcesses(t *testing.T, slots int) *processFleet {
	f := &processFleet{t: t, slots: slots, dir: t.TempDir(), processes: make(map[string]*exec.Cmd), storeAddress: freeAddress(t), hostListAddress: freeAddress(t)}
	t.Cleanup(func() {
		for _, p := range f.processes {
			_ = p.Process.Kill()
			_ = p.Wait()
		}
	})
	var hosts []string
	for i := range fleetHostCount {
		f.entryAddresses, f.gateAddresses = append(f.entryAddresses, freeAddress(t)), append(f.gateAddresses, freeAddress(t))
		f.gateOperationsAddresses, f.entryOperationsAddresses = append(f.gateOperationsAddresses, freeAddress(t)), append(f.entryOperationsAddresses, freeAddress(t))
		hosts = append(hosts, fmt.Sprintf(`{"name": "host-%d", "data-center": "attiki-1", "entry-address": %q, "gate-address": %q}`, i, f.entryAddresses[i], f.gateAddresses[i]))
	}
	f.write("catalog.jsonc", f.newCatalog())
	f.write("standin.jsonc", fmt.Sprintf(`{"operations-listen": %q, "store": %q, "host-list": %q, "host-lag-milliseconds": 0,
		"hosts": [%s], "catalog": %q, "version": 1, "log-level": "error"}`, freeAddress(t), f.storeAddress, f.hostListAddress, strings.Join(hosts, ","), filepath.Join(f.dir, "catalog.jsonc")))
	f.launch("foxtail-standin", "standin")
	f.awaitOK("http://" + f.hostListAddress + "/v1/hosts")
	for i := range fleetHostCount {
		common := fmt.Sprintf(`"host": "host-%d", "data-center": "attiki-1", "store": %q, "host-list": %q, "log-level": "error"`, i, f.storeAddress, f.hostListAddress)
		f.write(fmt.Sprintf("gate-%d.jsonc", i), fmt.Sprintf(`{%s, "listen": %q, "entry-address": %q, "operations-listen": %q, "hedge-percent": 3, "warm-milliseconds": 1000}`,
			common, f.gateAddresses[i], f.entryAddresses[i], f.gateOperationsAddresses[i]))
		f.write(fmt.Sprintf("entry-%d.jsonc", i), fmt.Sprintf(`{%s, "listen": %q, "operations-listen": %q, "gate": %q, "address-time-to-live-milliseconds": 1000}`,
			common, f.entryAddresses[i], f.entryOperationsAddresses[i], f.gateAddresses[i]))
		f.launch("foxtail-gate", fmt.Sprintf("gate-%d", i))
		f.launch("foxtail-entry", fmt.Sprintf("entry-%d", i))
	}
	for i := range fleetHostCount {
		f.awaitOK("http://" + f.entryAddresses[i] + "/v1/addresses")
	}
	f.runControl(ExitOK, "do", "apply file "+filepath.Join(f.dir, "catalog.jsonc"))
	return f
}

// newCatalog returns a catalog of 4 shards with 3 upstreams each, at new addresses.
// It sets lastUpstreamAddress.
func (f *processFleet) newCatalog() string {
	var upstreams, shards []string
	for s := range 4 {
		var names []string
		for r := range 3 {
			f.lastUpstreamAddress = freeAddress(f.t)
			f.upstreamAddresses = append(f.upstreamAddresses, f.lastUpstreamAddress)
			name := fmt.Sprintf("s%d-%d", s, r)
			upstreams = append(upstreams, fmt.Sprintf(`{"name": %q, "address": %q, "data-center": "attiki-1", "slots": %d, "connections": 50}`, name, f.lastUpstreamAddress, f.slots))
			names = append(names, fmt.Sprintf("%q", name))
		}
		shards = append(shards, fmt.Sprintf(`{"name": "s%d", "weight": 1, "upstreams": [%s]}`, s, strings.Join(names, ",")))
	}
	return fmt.Sprintf(`{"services": [{"name": "screening", "goal": "coverage", "min-replicas": 1, "canary": "never",
		"kinds": [{"name": "search", "urgency": "urgent", "idempotent": true, "scatter": "all", "deadline-milliseconds": 2000},
			{"name": "report", "urgency": "ordinary", "idempotent": false, "scatter": "key", "deadline-milliseconds": 2000}],
		"upstreams": [%s], "maps": [{"name": "m1", "shards": [%s]}]}]}`, strings.Join(upstreams, ","), strings.Join(shards, ","))
}

func (f *processFleet) write(name, text string) {
	if err := os.WriteFile(filepath.Join(f.dir, name), []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
}

func (f *processFleet) launch(program, name string) {
	p := exec.Command(programPath(f.t, f.dir, program), "--settings", filepath.Join(f.dir, name+".jsonc"))
	p.Stderr = os.Stderr
	if err := p.Start(); err != nil {
		f.t.Fatal(err)
	}
	f.processes[name] = p
}

// awaitOK waits until a URL responds with status 200.
func (f *processFleet) awaitOK(url string) {
	for range 200 {
		response, err := http.Get(url)
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	f.t.Fatalf("%s does not respond with status 200", url)
}

// runControl runs foxtailctl, asserts its exit code and returns its output.
func (f *processFleet) runControl(code int, args ...string) string {
	p := exec.Command(programPath(f.t, f.dir, "foxtailctl"), append([]string{"--store", f.storeAddress, "--host-list", f.hostListAddress}, args...)...)
	output, _ := p.CombinedOutput()
	qt.Assert(f.t, p.ProcessState.ExitCode(), qt.Equals, code, qt.Commentf("%s", output))
	return string(output)
}

func (f *processFleet) signal(name string, s syscall.Signal) {
	if err := f.processes[name].Process.Signal(s); err != nil {
		f.t.Fatal(err)
	}
}

// query sends a request to the entry of a host and returns the status in the answer,
// or "lost" if there is no answer or it cannot be decoded.
func (f *processFleet) query(host int, body string) string {
	response, err := http.Post("http://"+f.entryAddresses[host]+"/v1/services/screening/requests", "application/json", bytes.NewBufferString(body))
	if err != nil {
		return "lost"
	}
	defer response.Body.Close()
	var answer struct{ Status, Reason string }
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
		return "lost"
	}
	return answer.Status
}

func (f *processFleet) awaitComplete(host int) {
	for range 100 {
		if f.query(host, `{"kind": "search"}`) == "complete" {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	f.t.Fatal("no complete answer")
}

// TestRealGateKilledAndFrozen kills the gate of host-1, and later freezes the gate
// of host-2 for 3 s, while the entry of host-0 serves requests of the kinds search
// and report. Each report is sent three times with the same request ID. Every search
// must be answered completely, and no report may run more than once.
func TestRealGateKilledAndFrozen(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	f := startProcesses(t, 2)
	f.awaitComplete(0)
	statuses := make(map[string]int)
	var mu sync.Mutex
	var callers sync.WaitGroup
	for worker := range 4 {
		callers.Go(func() {
			for n := range 40 {
				status := f.query(0, fmt.Sprintf(`{"kind": "search", "query": "%d-%d"}`, worker, n))
				id := fmt.Sprintf("report-%d-%d", worker, n)
				for range 3 {
					f.query(0, fmt.Sprintf(`{"request-id": %q, "kind": "report", "key": %q}`, id, id))
				}
				mu.Lock()
				statuses[status]++
				mu.Unlock()
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	f.signal("gate-1", syscall.SIGKILL)
	time.Sleep(500 * time.Millisecond)
	f.signal("gate-2", syscall.SIGSTOP)
	time.Sleep(3 * time.Second)
	f.signal("gate-2", syscall.SIGCONT)
	callers.Wait()
	t.Logf("queries by status: %v", statuses)
	c.Check(statuses["complete"], qt.Equals, 160)
	// Each upstream serves the run counts of all upstreams.
	for worker := range 4 {
		for n := range 40 {
			url := fmt.Sprintf("http://%s/runs?service=screening&request=report-%d-%d", f.lastUpstreamAddress, worker, n)
			response, err := http.Get(url)
			c.Assert(err, qt.IsNil)
			var runs int
			c.Assert(json.NewDecoder(response.Body).Decode(&runs), qt.IsNil)
			_ = response.Body.Close()
			c.Check(runs <= 1, qt.IsTrue, qt.Commentf("%s: %d runs", url, runs))
		}
	}
}

// TestRealChangeWithFrozenHost changes the catalog while the gate of host-2 is
// frozen. foxtailctl must exit with ExitUnconfirmed and name host-2 as unconfirmed.
// After the gate resumes, it must activate the change within 5 s.
func TestRealChangeWithFrozenHost(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	f := startProcesses(t, 2)
	f.signal("gate-2", syscall.SIGSTOP)
	output := f.runControl(ExitUnconfirmed, "do", "drain upstream s0-0 of screening")
	c.Check(output, qt.Contains, "not confirmed by host-2")
	f.signal("gate-2", syscall.SIGCONT)
	isBehind := true
	for start := time.Now(); isBehind && time.Since(start) < 5*time.Second; time.Sleep(50 * time.Millisecond) {
		isBehind = !strings.Contains(f.runControl(ExitOK, "--plain", "do", "show hosts where host = host-2"), "\t2\ttrue")
	}
	c.Check(isBehind, qt.IsFalse)
}

// TestStoppingEntryServesWhileAddressesAreCached guards against an entry that ends while callers
// may still use its address, because the limit of a stop is shorter than their time to live.
func TestStoppingEntryServesWhileAddressesAreCached(t *testing.T) {
	c := qt.New(t)
	p := &process.Process{Name: "entry", LogLevel: "error"}
	c.Assert(p.Init(), qt.IsNil)
	const timeToLive = 10 * time.Minute
	newEntry(EntrySettings{Store: "127.0.0.1:1", HostList: "127.0.0.1:1", AddressTimeToLiveMilliseconds: int(timeToLive.Milliseconds())}, p)
	c.Check(p.ShutdownTimeout > timeToLive+work.MaxDrainDuration, qt.IsTrue, qt.Commentf("%s", p.ShutdownTimeout))
}

// TestRealEntryRefusesRequestsReadLate sends a report to a stopping entry and holds back half of
// its body until the entry serves no more. Without a refusal the report would run longer than the
// entry, and end without an answer.
func TestRealEntryRefusesRequestsReadLate(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	f := startProcesses(t, 2)
	f.awaitComplete(0)
	for _, address := range f.upstreamAddresses {
		request, err := http.NewRequest(http.MethodPut, "http://"+address+"/faults", strings.NewReader(`{"slow-factor": 500}`))
		c.Assert(err, qt.IsNil)
		response, err := http.DefaultClient.Do(request)
		c.Assert(err, qt.IsNil)
		_ = response.Body.Close()
	}
	body := `{"request-id": "late-1", "kind": "report", "key": "k", "deadline-milliseconds": 20000, "first-sending": true}`
	conn, err := net.Dial("tcp", f.entryAddresses[0])
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	c.Assert(conn.SetDeadline(time.Now().Add(30*time.Second)), qt.IsNil)
	_, err = fmt.Fprintf(conn, "POST /v1/services/screening/requests HTTP/1.1\r\nHost: e\r\nContent-Length: %d\r\n\r\n%s", len(body), body[:20])
	c.Assert(err, qt.IsNil)
	f.signal("entry-0", syscall.SIGTERM)
	// The entry serves for 4 s and its time to live of 1 s.
	time.Sleep(6 * time.Second)
	_, _ = conn.Write([]byte(body[20:]))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	c.Assert(err, qt.IsNil)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	c.Assert(err, qt.IsNil)
	c.Check(response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	c.Check(string(text), qt.Contains, "stopping")
	c.Check(response.Close, qt.IsTrue)
	c.Check(response.Header.Get("Retry-After"), qt.Equals, "1")
	c.Check(f.processes["entry-0"].Wait(), qt.IsNil)
}
