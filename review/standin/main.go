//go:build review

// Command standin plays the review's cases: it starts the hosts of the deploy file as processes,
// beside stand-ins for the platform's store, leafs and clients.
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"
)

// A trial is one play of a case.
type trial struct {
	trouble bool
	dir     string
	net     int
	base    int
	nonce   uint32
	store   *store
	hosts   []*host
	leafs   []*leaf
	from    time.Time

	mu           sync.Mutex
	requestCount int
	requests     []*request
	record       *os.File
	broken       []string
}

// elegchosLimits are the limits on clients in the configuration of elegchos-athina.
var elegchosLimits = map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}

// cases holds the cases by name.
var cases = map[string]func(t *trial){}

type unrunnable struct{ reason string }

// cannotRun ends the case with exit code 2.
func cannotRun(format string, arguments ...any) { panic(unrunnable{fmt.Sprintf(format, arguments...)}) }

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, folder string) (code int) {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer record.Close()
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	t := &trial{trouble: os.Getenv("TROUBLE") != "0", dir: dir, net: 1 + rand.IntN(250), base: 20000 + 10*rand.IntN(1000), nonce: rand.Uint32(), record: record, from: time.Now()}
	defer func() {
		for _, h := range t.hosts {
			if h.process != nil {
				h.kill()
			}
		}
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(dir)
		} else {
			fmt.Println("logs:", dir)
		}
	}()
	defer func() {
		if r := recover(); r != nil {
			u, ok := r.(unrunnable)
			if !ok {
				panic(r)
			}
			t.note("the case could not run: %s", u.reason)
			code = 2
		}
	}()
	t.store = startStore(t.address(1) + ":" + t.port(0))
	t.note("case %s, trouble: %v", name, t.trouble)
	cases[name](t)
	for _, b := range t.broken {
		t.note("BROKEN %s", b)
	}
	if len(t.broken) > 0 {
		return 1
	}
	t.note("the rule held")
	return 0
}

// address returns a loopback address that this trial alone uses.
func (t *trial) address(n int) string { return fmt.Sprintf("127.77.%d.%d", t.net, n) }

func (t *trial) port(n int) string { return strconv.Itoa(t.base + n) }

// note writes a line to the record.
func (t *trial) note(format string, arguments ...any) {
	line := fmt.Sprintf("%8.3f ", time.Since(t.from).Seconds()) + fmt.Sprintf(format, arguments...)
	t.mu.Lock()
	defer t.mu.Unlock()
	fmt.Fprintln(t.record, line)
	fmt.Println(line)
}

// breaks records that the rule was broken.
func (t *trial) breaks(format string, arguments ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.broken = append(t.broken, fmt.Sprintf(format, arguments...))
}

// startHosts starts all hosts and waits until they are ready.
func (t *trial) startHosts() {
	for _, h := range t.hosts {
		h.start()
	}
	for _, h := range t.hosts {
		t.awaitReady(h)
	}
}

func (t *trial) awaitReady(h *host) {
	for until := time.Now().Add(15 * time.Second); !h.isReady(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(until) {
			cannotRun("%s is not ready", h.name)
		}
	}
}

// addLeaf starts a leaf with the usual figures.
func (t *trial) addLeaf(l *leaf) *leaf {
	n := len(t.leafs)
	if l.id == "" {
		l.id = fmt.Sprintf("i-%08x", rand.Uint32())
	}
	if l.zone == "" {
		l.zone = fmt.Sprintf("z%d", n%3)
	}
	l.start(t.store, t.address(100+n%150)+":"+t.port(5))
	t.leafs = append(t.leafs, l)
	return l
}

func (t *trial) allRuns() []*run {
	var list []*run
	for _, l := range t.leafs {
		list = append(list, l.allRuns()...)
	}
	return list
}
