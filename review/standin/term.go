//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["term"] = playTerm }

const (
	// termGrace is grace_s of the settings.
	termGrace = 6 * time.Second
	// termWork is how long a leaf works on one of the long requests, whose route allows 10 s.
	termWork = 2200 * time.Millisecond
)

// resolve asks a host which addresses to use, as clients do.
func (t *trial) resolve(h *host) (addresses []string, ttl time.Duration) {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + h.directory + "/resolve?name=a.example&region=attiki&zone=" + h.zone)
	if err != nil {
		cannotRun("resolve: %v", err)
	}
	defer response.Body.Close()
	var reply struct {
		Addrs []string `json:"addrs"`
		TTL   float64  `json:"ttl_s"`
	}
	if err := json.NewDecoder(response.Body).Decode(&reply); err != nil {
		cannotRun("resolve: %v", err)
	}
	return reply.Addrs, time.Duration(reply.TTL * float64(time.Second))
}

// playTerm stops one host as the platform does: SIGTERM, and SIGKILL after the grace. Clients that
// still know its address send requests up to 4.3 s after the SIGTERM.
func playTerm(t *trial) {
	t.newHosts(3, nil)
	for range 4 {
		t.addLeaf(&leaf{service: "letter-archive", slots: 6, queue: 12, bodyBytes: 3000, work: func(r *http.Request) time.Duration {
			if r.Method == http.MethodPost {
				return termWork
			}
			return 160 * time.Millisecond
		}})
	}
	t.store.put("op/config", map[string]any{
		"version": 7,
		"routes": []map[string]any{
			{"name": "r-report", "host": "a.example", "prefix": "/report/", "route_type": "non_idempotent", "timeout_ms": 10000, "target_latency_ms": 4000, "priority": 2, "service": "letter-archive", "max_attempts": 2},
			{"name": "r-letter", "host": "a.example", "prefix": "/letter/", "route_type": "idempotent", "timeout_ms": 10000, "target_latency_ms": 600, "priority": 2, "service": "letter-archive", "max_attempts": 2},
		},
		"services": []map[string]any{{"name": "letter-archive", "health_path": "/health", "max_conns": 49, "protocol": "h1", "tls": false}},
		"limits":   elegchosLimits,
	})
	t.startHosts()
	time.Sleep(5 * time.Second)
	h := t.hosts[1]
	addresses, ttl := t.resolve(h)
	resolvedAt := time.Now()
	t.note("a client resolves: %v, ttl %v; it keeps them three times as long", addresses, ttl)
	from := time.Now()
	if t.trouble {
		t.note("%s gets SIGTERM", h.name)
		h.signal(syscall.SIGTERM)
	}
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		time.Sleep(time.Until(from.Add(termGrace)))
		if t.trouble {
			select {
			case <-h.exited:
				t.note("%s has ended by itself", h.name)
			default:
				t.note("the grace of %v is over: %s gets SIGKILL", termGrace, h.name)
				h.kill()
			}
		}
	}()
	for _, after := range []time.Duration{1000, 2000, 3100, 3300, 3500, 3700, 3900, 4100, 4200} {
		for _, method := range []string{"POST", "GET"} {
			wg.Add(1)
			go func() {
				defer wg.Done()
				time.Sleep(time.Until(from.Add(after * time.Millisecond)))
				if time.Since(resolvedAt) > 3*ttl {
					return
				}
				target := "/report/new"
				if method == "GET" {
					target = "/letter/one"
				}
				r := t.newRequest(method, target, 10*time.Second)
				if method == "POST" {
					r.body = []byte("report " + r.id)
				}
				once(h.front, r)
			}()
		}
	}
	wg.Wait()
	time.Sleep(termWork)
	t.judgeTerm(h, from)
}

// judgeTerm applies the rule LOST to the requests at the host that was stopped.
func (t *trial) judgeTerm(h *host, from time.Time) {
	ran := map[string]*run{}
	for _, n := range t.allRuns() {
		if !n.startedAt.IsZero() {
			ran[n.id] = n
		}
	}
	for _, r := range t.requests {
		sent, ended := r.sentAt.Sub(from), r.endedAt.Sub(from)
		at := "reached no leaf"
		n := ran[r.id]
		if n != nil {
			at = fmt.Sprintf("run by %s from %.3f to %.3f s", n.leaf, n.startedAt.Sub(from).Seconds(), n.endedAt.Sub(from).Seconds())
		}
		t.note("%s %s %s sent %.3f s after, %s, ended %.3f s after: %s", r.id, r.method, r.target, sent.Seconds(), at, ended.Seconds(), r.outcome())
		if r.status != 0 || n == nil {
			continue
		}
		if sent <= 3*time.Second && n.endedAt.Sub(from) > termGrace*5/6 {
			// The rule excuses these.
			continue
		}
		t.breaks("LOST: %s was sent %.3f s after the SIGTERM, was passed on to a leaf, and its connection ended without an answer", r.id, sent.Seconds())
	}
}
