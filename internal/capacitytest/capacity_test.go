package capacitytest

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/foxtailshelf/foxtailshelf/internal/catalog"
	"github.com/foxtailshelf/foxtailshelf/internal/invariant"
	"github.com/foxtailshelf/foxtailshelf/internal/peer"
	"github.com/foxtailshelf/foxtailshelf/internal/query"
	"github.com/foxtailshelf/foxtailshelf/internal/roster"
	"github.com/foxtailshelf/foxtailshelf/internal/shard"
	"github.com/foxtailshelf/foxtailshelf/internal/snapshot"
	"github.com/foxtailshelf/foxtailshelf/internal/timeline"
	"github.com/foxtailshelf/foxtailshelf/internal/upstream"
	"github.com/foxtailshelf/foxtailshelf/internal/wire"
	"github.com/foxtailshelf/foxtailshelf/internal/work"
)

// echoGate is a gate that answers each shard of a scatter immediately.
type echoGate struct{ peer.GateHandler }

func (echoGate) Scatter(_ context.Context, r *wire.ScatterRequest, deliver func(*wire.ScatterReply) error) error {
	if err := deliver(&wire.ScatterReply{Accepted: true}); err != nil {
		return err
	}
	for _, path := range r.GetShards() {
		if err := deliver(shardReply(path, r.GetNonce())); err != nil {
			return err
		}
	}
	return nil
}

func shardReply(path, nonce string) *wire.ScatterReply {
	return &wire.ScatterReply{
		Accepted: true, Shard: path, Nonce: nonce, Outcome: wire.Outcome_OUTCOME_ANSWERED, Body: []byte(strings.Repeat("x", 500)),
		Version: &wire.Version{Number: 1, Map: "m1"}, WaitMicros: []int64{0, 0, 0, 0}, Attempts: 1,
		Versions: []*wire.ShardVersion{{Version: &wire.Version{Number: 1, Map: "m1"}, Replicas: 3}},
	}
}

func shardPaths(n int) []string {
	paths := make([]string, 0, n)
	for i := range n {
		paths = append(paths, fmt.Sprintf("m1/s%02d", i))
	}
	return paths
}

// BenchmarkScatter measures one scatter message from an entry to a gate with its
// replies, over loopback.
func BenchmarkScatter(b *testing.B) {
	for _, n := range []int{1, 10, upstreamCount} {
		b.Run(fmt.Sprintf("%d-shards", n), func(b *testing.B) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			var serving work.Group
			serving.Go(func() { _ = peer.ServeGate(ctx, listener, echoGate{}) })
			client := peer.NewGateClient()
			defer client.Close()
			request := &wire.ScatterRequest{RequestId: "r", Nonce: "n", Service: "s", Idempotent: true, Shards: shardPaths(n)}
			b.ReportAllocs()
			stop := StartCPUTimer(b)
			for b.Loop() {
				err := client.Scatter(ctx, listener.Addr().String(), request, func(*wire.ScatterReply) {})
				if err != nil {
					b.Fatal(err)
				}
			}
			stop()
		})
	}
}

// BenchmarkUpstreamCall measures one attempt over HTTP, including the work of the client
// and the server.
func BenchmarkUpstreamCall(b *testing.B) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(upstream.HeaderAttempt, r.Header.Get(upstream.HeaderAttempt))
		w.Header().Set(upstream.HeaderVersion, "1")
		_, _ = fmt.Fprint(w, strings.Repeat("x", 500))
	}))
	defer server.Close()
	client := upstream.NewHTTPClient(strings.TrimPrefix(server.URL, "http://"), 2, 25)
	defer client.Close()
	b.ReportAllocs()
	stop := StartCPUTimer(b)
	for b.Loop() {
		if _, err := client.Run(context.Background(), upstream.Call{AttemptID: "a", Idempotent: true, Remaining: time.Second, Version: snapshot.New(1, "")}); err != nil {
			b.Fatal(err)
		}
	}
	stop()
}

// BenchmarkQuery measures the processing of one query over 70 shards, without network.
func BenchmarkQuery(b *testing.B) {
	plan := query.Plan{Version: snapshot.New(1, "m1"), Nonce: "n"}
	for _, path := range shardPaths(upstreamCount) {
		plan.Parts = append(plan.Parts, query.Part{Path: path, Name: path, Weight: 1})
	}
	now := time.Now()
	spec := query.Spec{Deadline: now.Add(time.Second), Goal: catalog.GoalLatency, Idempotent: true}
	b.ReportAllocs()
	for b.Loop() {
		q, _ := query.New(now, spec, plan, &invariant.Recorder{})
		for _, p := range plan.Parts {
			q.Step(now, query.ShardReplied{Nonce: "n", Path: p.Path, Outcome: shard.Answered, Version: plan.Version})
		}
	}
}

// BenchmarkTimeline measures the addition of one event to a timeline.
func BenchmarkTimeline(b *testing.B) {
	ring := &timeline.Ring{Host: "h", Process: "gate", Capacity: 8192}
	for b.Loop() {
		ring.Add("attempt", "request", "%s on %s, hedge: %v", "m1/s00", "u00-1", false)
	}
}

// newServices returns n services of the target deployment, each with 70 upstreams.
func newServices(b *testing.B, n int) []*catalog.Service {
	var all []*catalog.Service
	for i := range n {
		all = append(all, NewService(b, fmt.Sprintf("service-%04d", i), 25))
	}
	return all
}

// BenchmarkCatalog measures the application of one changed service to a catalog of 70
// to 700 services with 70 upstreams each. It also reports the heap size of the catalog
// per upstream, and the sizes of the head and of the document of one service.
func BenchmarkCatalog(b *testing.B) {
	for _, n := range []int{70, 350, 700} {
		b.Run(fmt.Sprintf("%d-services", n), func(b *testing.B) {
			before := HeapBytes()
			base := catalog.Empty().WithChange("first", newServices(b, n), nil)
			heapBytes := HeapBytes() - before
			changed := NewService(b, "service-0000", 7)
			next := base.WithChange("second", []*catalog.Service{changed}, nil)
			stop := StartCPUTimer(b)
			for b.Loop() {
				_, err := catalog.Assemble(next.Head(), base, func(string) ([]byte, error) { return changed.Document(), nil })
				if err != nil {
					b.Fatal(err)
				}
			}
			stop()
			// A leaf is an upstream.
			b.ReportMetric(float64(heapBytes)/float64(n*upstreamCount), "heap-B/leaf")
			b.ReportMetric(float64(len(base.Head().Encode())), "head-B")
			b.ReportMetric(float64(len(changed.Document())), "document-B")
			runtime.KeepAlive(base)
		})
	}
}

// BenchmarkGroupMemory measures the heap size of one owned group.
func BenchmarkGroupMemory(b *testing.B) {
	const groups = 1000
	definition := NewService(b, "s", 2).Groups()[0]
	for b.Loop() {
		before := HeapBytes()
		live := make([]*shard.Group, 0, groups)
		for range groups {
			live = append(live, shard.NewGroup(definition, shard.DefaultOptions(), nil, time.Now()))
		}
		b.ReportMetric(float64(HeapBytes()-before)/groups, "heap-B/group")
		runtime.KeepAlive(live)
	}
}

func member(i int) roster.Member {
	return roster.NewMember(fmt.Sprintf("host-%04d", i), "attiki-1", "10.0.0.1:7200", "10.0.0.1:7100", 1_700_000_000_000_000, roster.Alive)
}

// BenchmarkRosterMemory measures the heap size of the roster and the ownership of a
// fleet of 2400 members.
func BenchmarkRosterMemory(b *testing.B) {
	const members = 2400
	for b.Loop() {
		before := HeapBytes()
		r := roster.New(member(0), 1)
		o := roster.NewOwnership()
		for i := range members {
			r.Step(time.Now(), roster.GossipReceived{Sender: member(i)})
			o.Add(member(i).Host())
		}
		b.ReportMetric(float64(HeapBytes()-before), "heap-B")
		runtime.KeepAlive(r)
		runtime.KeepAlive(o)
	}
}

// BenchmarkExchange measures one membership message in a fleet of 2400 members: the
// choice of its gossip updates, its encoding, decoding and size, and the work of the
// roster between two messages.
func BenchmarkExchange(b *testing.B) {
	r := roster.New(member(0), 1)
	for i := range 2400 {
		r.Step(time.Now(), roster.GossipReceived{Sender: member(i)})
	}
	// Use up the updates about the initial members, so that the messages carry only the
	// changes below.
	for len(r.NextUpdates()) > 0 {
	}
	maxBytes, totalBytes := 0, 0
	for n := 0; b.Loop(); n++ {
		request := &wire.ExchangeRequest{Revision: 1}
		for _, m := range append(r.NextUpdates(), member(0)) {
			request.Rumours = append(request.Rumours, &wire.Member{
				Host: m.Host(), DataCenter: m.DataCenter(), GateAddress: m.GateAddress(), EntryAddress: m.EntryAddress(),
				Incarnation: m.Incarnation(), State: string(m.State()),
			})
		}
		data, err := proto.Marshal(request)
		if err != nil {
			b.Fatal(err)
		}
		maxBytes = max(maxBytes, len(data))
		totalBytes += len(data)
		if err := proto.Unmarshal(data, request); err != nil {
			b.Fatal(err)
		}
		if n%8 == 0 {
			// One change for every eight messages is somewhat more than in the target
			// deployment.
			r.Step(time.Now(), roster.GossipReceived{Sender: member(n%2400).WithState(roster.Alive, uint64(1_700_000_000_000_001+n))})
		}
		r.Step(time.Now(), roster.Tick{})
	}
	b.ReportMetric(float64(maxBytes), "most-B/message")
	b.ReportMetric(float64(totalBytes)/float64(b.N), "mean-B/message")
}
