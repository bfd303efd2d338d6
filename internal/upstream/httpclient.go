package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/snapshot"
)

// The headers of the upstream protocol.
const (
	HeaderAttempt    = "Foxtail-Attempt"
	HeaderRequest    = "Foxtail-Request"
	HeaderService    = "Foxtail-Service"
	HeaderShard      = "Foxtail-Shard"
	HeaderKind       = "Foxtail-Kind"
	HeaderVersion    = "Foxtail-Version"
	HeaderMap        = "Foxtail-Map"
	HeaderDeadline   = "Foxtail-Deadline-Microseconds"
	HeaderNotRun     = "Foxtail-Not-Run"
	HeaderRetryAfter = "Foxtail-Retry-After-Microseconds"
	HeaderDraining   = "Foxtail-Draining"
	HeaderCold       = "Foxtail-Cold"
)

const (
	// maxReplySize bounds one answer, in bytes.
	maxReplySize = 16 << 20
	// controlConnections are kept free for reports and cancellations.
	controlConnections = 2
	dialTimeout        = 500 * time.Millisecond
	// idleTimeout is shorter than that of common servers, so that they do not
	// close a connection just as it is used again.
	idleTimeout = 4 * time.Second
)

// An HTTPClient is the Client for the HTTP protocol of upstreams.
type HTTPClient struct {
	base string
	// kept reuses connections, fresh makes one for each call.
	kept, fresh, control *http.Transport
}

// A limitedDialer never has more connections open than it has room for. A
// transport alone counts a connection as gone a moment before it is closed.
type limitedDialer struct {
	dialer net.Dialer
	// room holds a token for each open connection.
	room chan struct{}
}

// A limitedConn gives its room back when it is closed.
type limitedConn struct {
	net.Conn
	closing sync.Once
	room    chan struct{}
}

type versionDocument struct {
	Number uint64 `json:"number"`
	Map    string `json:"map"`
}

// A ReportDocument is the JSON of the load endpoint.
type ReportDocument struct {
	Versions []versionDocument `json:"versions"`
	Draining bool              `json:"draining"`
	Cold     bool              `json:"cold"`
	Running  int               `json:"running"`
}

var _ Client = (*HTTPClient)(nil)

// NewHTTPClient returns a client that never opens more connections than the
// upstream allows.
func NewHTTPClient(address string, slots, connections int) *HTTPClient {
	most := max(1, connections-controlConnections)
	limiter := &limitedDialer{dialer: net.Dialer{Timeout: dialTimeout}, room: make(chan struct{}, connections)}
	transport := func(limit int, reuse bool) *http.Transport {
		return &http.Transport{
			DialContext: limiter.dial, MaxConnsPerHost: limit, MaxIdleConnsPerHost: limit,
			IdleConnTimeout: idleTimeout, DisableKeepAlives: !reuse, DisableCompression: true,
		}
	}
	return &HTTPClient{
		base:    "http://" + address,
		kept:    transport(max(1, min(slots, most/2)), true),
		fresh:   transport(max(1, min(slots, most/2)), false),
		control: transport(controlConnections, false),
	}
}

// EncodeReport returns the JSON form of a report.
func EncodeReport(r Report) ReportDocument {
	d := ReportDocument{Draining: r.Draining, Cold: r.Cold, Running: r.Running, Versions: []versionDocument{}}
	for _, v := range r.Versions {
		d.Versions = append(d.Versions, versionDocument{Number: v.Number(), Map: v.ShardMap()})
	}
	return d
}

// Cancel implements Client.
func (c *HTTPClient) Cancel(ctx context.Context, attemptID string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodDelete, c.base+"/v1/attempts/"+attemptID, nil)
	if err != nil {
		return fmt.Errorf("build cancellation: %w", err)
	}
	response, err := c.control.RoundTrip(request)
	if err != nil {
		return fmt.Errorf("send cancellation: %w", err)
	}
	return response.Body.Close()
}

// Close implements Client.
func (c *HTTPClient) Close() {
	c.CloseIdleConnections()
	c.control.CloseIdleConnections()
}

// CloseIdleConnections implements Client.
func (c *HTTPClient) CloseIdleConnections() {
	c.kept.CloseIdleConnections()
	c.fresh.CloseIdleConnections()
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	err := c.Conn.Close()
	c.closing.Do(func() { <-c.room })
	return err
}

// Report implements Client.
func (c *HTTPClient) Report(ctx context.Context) (Report, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+"/v1/load", nil)
	if err != nil {
		return Report{}, fmt.Errorf("build load request: %w", err)
	}
	response, err := c.control.RoundTrip(request)
	if err != nil {
		return Report{}, &UnreachableError{Err: err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxReplySize))
	if err != nil {
		return Report{}, &BrokenError{Err: err}
	}
	return DecodeReport(data)
}

// DecodeReport reads the JSON of the load endpoint.
func DecodeReport(data []byte) (Report, error) {
	var d ReportDocument
	if err := json.Unmarshal(data, &d); err != nil {
		return Report{}, fmt.Errorf("decode load report: %w", err)
	}
	r := Report{Draining: d.Draining, Cold: d.Cold, Running: d.Running}
	for _, v := range d.Versions {
		r.Versions = append(r.Versions, snapshot.New(v.Number, v.Map))
	}
	return r, nil
}

// Run implements Client.
func (c *HTTPClient) Run(ctx context.Context, call Call) (Reply, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request, err := http.NewRequestWithContext(
		httptrace.WithClientTrace(ctx, trace), http.MethodPost, c.base+"/v1/run", bytes.NewReader(call.Body))
	if err != nil {
		return Reply{}, &UnreachableError{Err: err}
	}
	setHeaders(request.Header, call)
	transport := c.kept
	if !call.Idempotent {
		transport = c.fresh
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return Reply{}, runError(ctx, err, connected.Load())
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReplySize))
	if err != nil {
		return Reply{}, runError(ctx, err, true)
	}
	return decodeReply(response, call, body)
}

func decodeReply(response *http.Response, call Call, body []byte) (Reply, error) {
	h := response.Header
	if reason := h.Get(HeaderNotRun); reason != "" {
		micros, _ := strconv.ParseInt(h.Get(HeaderRetryAfter), 10, 64)
		return Reply{}, &RefusedError{Reason: reason, RetryAfter: time.Duration(micros) * time.Microsecond}
	}
	if response.StatusCode != http.StatusOK {
		return Reply{}, &BrokenError{Err: fmt.Errorf("status %d", response.StatusCode)}
	}
	if h.Get(HeaderAttempt) != call.AttemptID {
		return Reply{}, &BrokenError{Err: errors.New("the answer belongs to another attempt")}
	}
	number, err := strconv.ParseUint(h.Get(HeaderVersion), 10, 64)
	if err != nil {
		return Reply{}, &BrokenError{Err: fmt.Errorf("parse version: %w", err)}
	}
	return Reply{
		AttemptID: call.AttemptID, Version: snapshot.New(number, h.Get(HeaderMap)), Body: body,
		Draining: h.Get(HeaderDraining) != "", Cold: h.Get(HeaderCold) != "",
	}, nil
}

func runError(ctx context.Context, err error, connected bool) error {
	switch {
	case ctx.Err() != nil && connected:
		return ctx.Err()
	case !connected:
		return &UnreachableError{Err: err}
	default:
		return &BrokenError{Err: err}
	}
}

func setHeaders(h http.Header, call Call) {
	h.Set(HeaderAttempt, call.AttemptID)
	h.Set(HeaderRequest, call.RequestID)
	h.Set(HeaderService, call.Service)
	h.Set(HeaderShard, call.ShardPath)
	h.Set(HeaderKind, call.Kind)
	h.Set(HeaderVersion, strconv.FormatUint(call.Version.Number(), 10))
	h.Set(HeaderMap, call.Version.ShardMap())
	h.Set(HeaderDeadline, strconv.FormatInt(call.Remaining.Microseconds(), 10))
}

func (d *limitedDialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	select {
	case d.room <- struct{}{}:
	case <-ctx.Done():
		return nil, fmt.Errorf("wait for a connection to close: %w", ctx.Err())
	}
	conn, err := d.dialer.DialContext(ctx, network, address)
	if err != nil {
		<-d.room
		return nil, fmt.Errorf("connect to upstream: %w", err)
	}
	return &limitedConn{Conn: conn, room: d.room}, nil
}
