//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["freeze"] = playFreeze }

const (
	// freezeTimeout is timeout_ms of the route and the time limit of the clients (customer-history).
	freezeTimeout = 1200 * time.Millisecond
	// freezeRate is how many searches the clients begin per second.
	freezeRate = 180
	// freezeWork is how long a leaf works on its part, and freezeSlow how many times longer the
	// leafs of one shard do during a slowdown of slowFor.
	freezeWork = 20 * time.Millisecond
	freezeSlow = 4
	slowFor    = 8 * time.Second
	// freezeFor is how long one machine stands still, freezeGap the time until the next one does.
	freezeFor = 400 * time.Millisecond
	freezeGap = 250 * time.Millisecond
	// slowdowns is how often the leafs turn slow.
	slowdowns = 4
	// recoveryTime is recovery_s of the site.
	recoveryTime = 15 * time.Second
)

// A search is one request of a caller with its retry.
type search struct {
	startedAt time.Time
	tries     []*request
}

func (s *search) isServed() bool { return s.tries[len(s.tries)-1].status == http.StatusOK }

// playFreeze lets one machine after the other stand still for a moment, while the leafs of one of
// ten shards are slow. Then it leaves the system alone for recoveryTime and looks what is served.
func playFreeze(t *trial) {
	t.newHosts(3, map[string]any{"bounds.quota_window_s": 5, "bounds.quota_burst": 0.1, "bounds.quota_slack": 20})
	var isSlow atomic.Bool
	var shards []string
	var services []map[string]any
	for i := range 10 {
		s := fmt.Sprintf("teller-desk-%d", i)
		shards = append(shards, s)
		services = append(services, map[string]any{"name": s, "health_path": "/health", "max_conns": 11, "protocol": "h1", "tls": false})
		for range 3 {
			t.addLeaf(&leaf{service: s, slots: 3, queue: 12, bodyBytes: 200, work: func(*http.Request) time.Duration {
				if i == 0 && isSlow.Load() {
					return freezeSlow * freezeWork
				}
				return freezeWork
			}})
		}
	}
	t.store.put("op/config", map[string]any{
		"version": 7,
		"routes": []map[string]any{{
			"name": "r-customer-history", "host": "a.example", "prefix": "/history/", "route_type": "idempotent", "timeout_ms": freezeTimeout.Milliseconds(),
			"target_latency_ms": 300, "priority": 1, "gather": shards, "max_attempts": 2, "top_k": 50, "min_shard_ratio": 0.95,
		}},
		"services": services, "limits": elegchosLimits,
		"tenants": []map[string]any{{"name": "kiosk-a", "api_keys": []string{"key-a"}}, {"name": "kiosk-b", "api_keys": []string{"key-b"}}},
	})
	t.startHosts()
	time.Sleep(5 * time.Second)
	stop := make(chan struct{})
	searches := make(chan []*search)
	go func() { searches <- t.searchUntil(stop) }()
	from := time.Now()
	time.Sleep(3 * time.Second)
	troubleFrom := time.Now()
	for n := range slowdowns {
		t.note("the leafs of one of ten shards turn slow, %d times", freezeSlow)
		isSlow.Store(true)
		end := time.Now().Add(slowFor)
		time.Sleep(500 * time.Millisecond)
		for i := 0; time.Now().Add(freezeFor + freezeGap).Before(end); i++ {
			h := t.hosts[(n+i)%len(t.hosts)]
			if t.trouble {
				t.note("%s stands still for %v", h.name, freezeFor)
				h.signal(syscall.SIGSTOP)
			}
			time.Sleep(freezeFor)
			h.signal(syscall.SIGCONT)
			time.Sleep(freezeGap)
		}
		time.Sleep(time.Until(end))
		isSlow.Store(false)
		time.Sleep(time.Second)
	}
	t.note("all is well again")
	backAt := time.Now()
	time.Sleep(recoveryTime + 10*time.Second)
	close(stop)
	t.judgeFreeze(<-searches, from, troubleFrom, backAt)
}

// searchUntil lets callers search at a steady rate, each with one retry, until stop is closed.
func (t *trial) searchUntil(stop chan struct{}) (list []*search) {
	var wg sync.WaitGroup
	next := time.Now()
	for n := 0; ; n++ {
		select {
		case <-stop:
			wg.Wait()
			return list
		case <-time.After(time.Until(next)):
		}
		next = next.Add(time.Second / freezeRate)
		s := &search{startedAt: time.Now()}
		list = append(list, s)
		wg.Add(1)
		go func() {
			defer wg.Done()
			first := rand.IntN(len(t.hosts))
			for try := range 2 {
				left := freezeTimeout - time.Since(s.startedAt)
				r := t.newRequest("GET", fmt.Sprintf("/history/%d", n), left)
				r.key = []string{"key-a", "key-b"}[n%2]
				s.tries = append(s.tries, r)
				once(t.hosts[(first+try)%len(t.hosts)].front, r)
				if r.status == http.StatusOK {
					return
				}
				// Clients honour Retry-After up to a third of the time that they have left.
				seconds, _ := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
				left = freezeTimeout - time.Since(s.startedAt)
				wait := min(time.Duration(seconds*float64(time.Second)), left/3)
				if left <= 0 {
					return
				}
				time.Sleep(max(0, wait))
			}
		}()
	}
}

// judgeFreeze applies the rule RECOVER.
func (t *trial) judgeFreeze(list []*search, from, troubleFrom, backAt time.Time) {
	count := func(after, before time.Time) (served, all int) {
		for _, s := range list {
			if !s.startedAt.Before(after) && s.startedAt.Before(before) {
				all++
				if s.isServed() {
					served++
				}
			}
		}
		return served, all
	}
	for at := from; at.Before(time.Now()); at = at.Add(2 * time.Second) {
		if served, all := count(at, at.Add(2*time.Second)); all > 0 {
			t.note("searches begun %2.0f to %2.0f s after the start: %d of %d served", at.Sub(from).Seconds(), at.Sub(from).Seconds()+2, served, all)
		}
	}
	for _, h := range t.hosts {
		byStatus := map[string]int{}
		for _, r := range t.requests {
			if r.to == h.front && r.sentAt.After(backAt.Add(recoveryTime)) {
				byStatus[r.outcome()]++
			}
		}
		t.note("%s, requests sent later than %v after all was well: %v", h.name, recoveryTime, byStatus)
	}
	servedBefore, allBefore := count(from, troubleFrom)
	served, all := count(backAt.Add(recoveryTime), time.Now())
	t.note("served before: %d of %d; later than %v after: %d of %d", servedBefore, allBefore, recoveryTime, served, all)
	if 4*servedBefore >= allBefore && 4*served < all {
		t.breaks("RECOVER: %d of %d requests are served later than %v after all machines are back", served, all, recoveryTime)
	}
}
