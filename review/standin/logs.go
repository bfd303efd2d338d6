//go:build review

package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["logs"] = playLogs }

const (
	// logsTimeout is timeout_ms of the route, and the time limit of the clients.
	logsTimeout = 2500 * time.Millisecond
	// logsStall is how long nothing is read from the standard output of one process.
	logsStall = 20 * time.Second
	// answerSlack is how long after timeout_ms the rule CONFIG allows an answer to come.
	answerSlack = 500 * time.Millisecond
)

// A collector reads what a process writes to its standard output, unless it is stalled.
type collector struct {
	stalled atomic.Bool
	bytes   atomic.Int64
}

func (c *collector) run(reader *os.File, path string) {
	defer reader.Close()
	out, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return
	}
	defer out.Close()
	block := make([]byte, 4096)
	for {
		for c.stalled.Load() {
			time.Sleep(20 * time.Millisecond)
		}
		n, err := reader.Read(block)
		if err != nil {
			return
		}
		c.bytes.Add(int64(n))
		_, _ = out.Write(block[:n])
	}
}

// playLogs stops reading the standard output of one of three processes for a while. The leafs of
// one of ten shards are down all the time, with and without the stall: each search then lacks a
// part, and the process logs a line for it.
func playLogs(t *trial) {
	t.newHosts(3, nil)
	for _, h := range t.hosts {
		h.collector = &collector{}
	}
	var shards []string
	var down []*leaf
	for i := range 10 {
		s := fmt.Sprintf("screening-desk-%d", i)
		shards = append(shards, s)
		for range 3 {
			l := t.addLeaf(&leaf{service: s, slots: 3, queue: 12, bodyBytes: 200, work: func(*http.Request) time.Duration { return 20 * time.Millisecond }})
			if i == 0 {
				down = append(down, l)
			}
		}
	}
	var services []map[string]any
	for _, s := range shards {
		services = append(services, map[string]any{"name": s, "health_path": "/health", "max_conns": 31, "protocol": "h1", "tls": false})
	}
	t.store.put("op/config", map[string]any{
		"version": 7,
		"routes": []map[string]any{{
			"name": "r-full-history", "host": "a.example", "prefix": "/full/", "route_type": "idempotent", "timeout_ms": logsTimeout.Milliseconds(),
			"target_latency_ms": 150, "priority": 1, "gather": shards, "max_attempts": 2, "top_k": 10, "min_shard_ratio": 0.89,
		}},
		"services": services, "limits": elegchosLimits,
	})
	t.startHosts()
	time.Sleep(5 * time.Second)
	t.note("the leafs of one of ten shards crash; their entries lapse")
	for _, l := range down {
		l.crash()
		t.store.remove("servers/" + l.id)
	}
	h := t.hosts[1]
	from := time.Now()
	if t.trouble {
		t.note("nobody reads the standard output of %s from now on", h.name)
		h.collector.stalled.Store(true)
	}
	var wg sync.WaitGroup
	for n := 0; time.Since(from) < logsStall; n++ {
		time.Sleep(time.Second / 45)
		r := t.newRequest("GET", fmt.Sprintf("/full/%d", n), logsTimeout)
		to := t.hosts[n%len(t.hosts)]
		wg.Add(1)
		go func() {
			defer wg.Done()
			once(to.front, r)
		}()
	}
	wg.Wait()
	t.note("%s counts as ready: %v", h.name, h.isReady())
	if t.trouble {
		t.note("the standard output is read again; %d bytes were read before", h.collector.bytes.Load())
		h.collector.stalled.Store(false)
	}
	time.Sleep(2 * time.Second)
	t.judgeLogs(from)
}

// judgeLogs applies the rule CONFIG: of the requests that are unanswered at their route's
// timeout_ms, at most half may have no answer half a second later.
func (t *trial) judgeLogs(from time.Time) {
	unanswered, never := 0, 0
	for _, h := range t.hosts {
		byOutcome := map[string]int{}
		for _, r := range t.requests {
			if r.to != h.front {
				continue
			}
			took := r.endedAt.Sub(r.sentAt)
			outcome := fmt.Sprint("status ", r.status)
			switch {
			case r.status == 0 || took > logsTimeout+answerSlack:
				outcome = "no answer 0.5 s after timeout_ms"
				unanswered++
				never++
			case took > logsTimeout:
				unanswered++
			}
			byOutcome[outcome]++
			if outcome != "status 200" {
				t.note("%s to %s sent at %.3f s: %s after %.3f s", r.id, h.name, r.sentAt.Sub(from).Seconds(), r.outcome(), took.Seconds())
			}
		}
		t.note("%s: %v, %d bytes of log", h.name, byOutcome, h.collector.bytes.Load())
	}
	t.note("%d requests were unanswered at timeout_ms, %d of them half a second later", unanswered, never)
	if never >= 8 && 2*never > unanswered {
		t.breaks("CONFIG: %d of %d requests that were unanswered at timeout_ms had no answer half a second later", never, unanswered)
	}
}
