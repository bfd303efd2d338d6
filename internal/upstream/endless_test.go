package upstream

import (
	"context"
	"errors"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/foxtailshelf/foxtailshelf/internal/work"
)

// startEndlessServer serves connections: after a request it sends head once and then piece
// until the connection is closed.
func startEndlessServer(t *testing.T, head, piece string) (address string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var group work.Group
	serve := func(conn net.Conn) {
		defer conn.Close()
		_, _ = conn.Read(make([]byte, 4<<10))
		_, err := conn.Write([]byte(head))
		for block := []byte(strings.Repeat(piece, 1+(32<<10)/len(piece))); err == nil; {
			_, err = conn.Write(block)
		}
	}
	group.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			group.Go(func() { serve(conn) })
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		group.Wait()
	})
	return listener.Addr().String()
}

// TestResponsesWithoutEnd has upstreams send responses that never end. The exchange must fail long before its deadline, at a small cost in memory.
func TestResponsesWithoutEnd(t *testing.T) {
	const (
		deadline      = 4 * time.Second
		maxHeadMemory = 4 << 20
		// A buffer that grows by doubling allocates about four times its final size.
		maxBodyMemory = 5 * maxResponseBytes * growthCopies
	)
	ok := "HTTP/1.1 200 OK\r\nRequest: r\r\nSignature: s\r\n"
	for _, test := range []struct {
		name, head, piece string
		maxMemory         uint64
		// isMalformed is set if the response fails before a bound, as in one that a crash cuts.
		isMalformed bool
	}{
		{"status line", "HTTP/1.1 200 ", "x", maxHeadMemory, false},
		{"no protocol", "", "\x00", maxHeadMemory, false},
		{"one field", ok + "Field: ", "x", maxHeadMemory, false},
		{"fields", ok, "F: x\r\n", maxHeadMemory, false},
		{"continued field", ok + "Field: x\r\n", " x\r\n", maxHeadMemory, false},
		{"interim responses", "", "HTTP/1.1 103 Early Hints\r\n\r\n", maxHeadMemory, false},
		{"responses to other requests", "", "HTTP/1.1 200 OK\r\nRequest: other\r\nSignature: s\r\nContent-Length: 0\r\n\r\n", maxHeadMemory, false},
		{"body without length", ok + "\r\n", "x", maxBodyMemory, false},
		{"chunks", ok + "Transfer-Encoding: chunked\r\n\r\n", "1000\r\n" + strings.Repeat("x", 0x1000) + "\r\n", maxBodyMemory, false},
		{"chunk size", ok + "Transfer-Encoding: chunked\r\n\r\n", "0", maxHeadMemory, true},
		{"trailer fields", ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "F: x\r\n", maxHeadMemory, true},
		{"long body announced", ok + "Content-Length: 99999999999\r\n\r\n", "x", maxHeadMemory, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			address := startEndlessServer(t, test.head, test.piece)
			p := &ConnectionPool{Protocol: plainProtocol{}}
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			startedAt := time.Now()
			outcome := p.Exchange(context.Background(), &Attempt{
				Method: http.MethodGet, Target: "/", Host: "h", RequestID: "r", UpstreamID: "u", Address: address, Deadline: startedAt.Add(deadline),
			})
			elapsed := time.Since(startedAt)
			runtime.ReadMemStats(&after)
			c.Check(outcome.Result, qt.Equals, Broken, qt.Commentf("%v", outcome.Err))
			c.Check(len(outcome.Err.Error()) < 1<<10, qt.IsTrue, qt.Commentf("%d bytes", len(outcome.Err.Error())))
			c.Check(outcome.ConnectionLost, qt.Equals, test.isMalformed, qt.Commentf("%v", outcome.Err))
			c.Check(elapsed < deadline/2, qt.IsTrue, qt.Commentf("%v", elapsed))
			c.Check(after.TotalAlloc-before.TotalAlloc <= test.maxMemory, qt.IsTrue, qt.Commentf("%d MB allocated", (after.TotalAlloc-before.TotalAlloc)>>20))
			c.Check(p.IdleCount("u"), qt.Equals, 0)
		})
	}
}

// TestManyLongBodiesAtOnce has many upstreams send bodies without end at once. Those being read must stay within the bound together.
func TestManyLongBodiesAtOnce(t *testing.T) {
	c := qt.New(t)
	const count = 40
	address := startEndlessServer(t, "HTTP/1.1 200 OK\r\nRequest: r\r\nSignature: s\r\n\r\n", "x")
	p := &ConnectionPool{Protocol: plainProtocol{}}
	var exchanges, sampler work.Group
	results := make(chan Outcome, count)
	for range count {
		exchanges.Go(func() {
			o := Outcome{Result: Unreachable}
			// A connection that the busy stand-in accepts too late says nothing about bodies.
			for o.Result == Unreachable {
				o = p.Exchange(context.Background(), &Attempt{
					Method: http.MethodGet, Target: "/", Host: "h", RequestID: "r", UpstreamID: "u", Address: address, Deadline: time.Now().Add(20 * time.Second),
				})
			}
			results <- o
		})
	}
	done := make(chan struct{})
	mostUsed := int64(0)
	sampler.Go(func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(100 * time.Microsecond):
				mostUsed = max(mostUsed, p.longBodies.used.Load())
			}
		}
	})
	exchanges.Wait()
	close(done)
	sampler.Wait()
	close(results)
	bounded := 0
	for o := range results {
		c.Check(o.Result, qt.Equals, Broken)
		var tooLarge *TooLargeError
		c.Check(errors.As(o.Err, &tooLarge), qt.IsTrue, qt.Commentf("%v", o.Err))
		if tooLarge != nil && tooLarge.Bound == maxLongBodyBytes {
			bounded++
		}
	}
	c.Check(bounded > 0, qt.IsTrue)
	// One block of each exchange may be counted for a moment before it is given back.
	c.Check(mostUsed <= maxLongBodyBytes+count*bodyBlockBytes, qt.IsTrue, qt.Commentf("%d MB", mostUsed>>20))
	c.Check(p.longBodies.used.Load(), qt.Equals, int64(0))
}
