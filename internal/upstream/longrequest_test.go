package upstream

import (
	"bufio"
	"context"
	"crypto/sha256"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/foxtailshelf/foxtailshelf/internal/work"
)

// startReader answers each request once it has read it whole, and passes on the checksum of its body. It keeps no body.
func startReader(t *testing.T) (address string, checksums <-chan [sha256.Size]byte) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	sums := make(chan [sha256.Size]byte, 1)
	var group work.Group
	group.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			group.Go(func() {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				for {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					sum := sha256.New()
					_, _ = io.Copy(sum, request.Body)
					sums <- [sha256.Size]byte(sum.Sum(nil))
					_, _ = io.WriteString(conn, okResponse(request.Header.Get("Request"), "b"))
				}
			})
		}
	})
	t.Cleanup(func() { _ = listener.Close() })
	return listener.Addr().String(), sums
}

// TestAttemptsShareLongRequests guards against attempts that each hold a copy of a long request, and against requests
// that do not arrive whole.
func TestAttemptsShareLongRequests(t *testing.T) {
	const attemptCount = 20
	address, checksums := startReader(t)
	pool := &ConnectionPool{Protocol: plainProtocol{}}
	defer pool.CloseIdleConnections("u")
	for _, size := range []int{1, maxJoinedBytes, 1 << 20} {
		c := qt.New(t)
		body := []byte(strings.Repeat("0123456789abcdef", size/16+1))
		a := &Attempt{
			Method: http.MethodPost, Target: "/" + strings.Repeat("t", size/100), Host: "h.example", Header: []byte("Field: " + strings.Repeat("f", size/50) + "\r\n"),
			Body: body, RequestID: "r", UpstreamID: "u", Address: address, Deadline: time.Now().Add(10 * time.Second),
		}
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		for range attemptCount {
			c.Check(pool.Exchange(context.Background(), a).Result, qt.Equals, Answered)
			c.Check(<-checksums, qt.Equals, sha256.Sum256(body))
		}
		runtime.ReadMemStats(&after)
		allocated := (after.TotalAlloc - before.TotalAlloc) / attemptCount
		c.Check(allocated < 256<<10, qt.IsTrue, qt.Commentf("%d bytes for each attempt with a body of %d", allocated, len(body)))
	}
}
