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

// The HTTP headers of the upstream protocol.
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
	// maxResponseBytes bounds the body of one response.
	maxResponseBytes = 16 << 20
	// controlConnections is how many connections are reserved for load reports and
	// cancellations.
	controlConnections = 2
	dialTimeout        = 500 * time.Millisecond
	// transportIdleTimeout is shorter than the idle timeouts of common servers,
	// which could otherwise close a connection just as it is reused.
	transportIdleTimeout = 4 * time.Second
)

// An HTTPClient is the Client for the HTTP protocol of upstreams.
type HTTPClient struct {
	baseURL string
	// reusing keeps its connections open and reuses them for idempotent calls.
	// singleUse dials a connection for each other call, and control for each load
	// report and cancellation.
	reusing, singleUse, control *http.Transport
}

// A limitedDialer bounds the number of open connections. The limits of
// http.Transport do not suffice, because a transport stops counting a connection
// shortly before closing it.
type limitedDialer struct {
	dialer net.Dialer
	// tokens holds a token for each open connection; its capacity is the limit.
	tokens chan struct{}
}

// A limitedConn returns its token to the dialer when it is closed.
type limitedConn struct {
	net.Conn
	closeOnce sync.Once
	tokens    chan struct{}
}

type versionDocument struct {
	Number uint64 `json:"number"`
	Map    string `json:"map"`
}

// A ReportDocument is the JSON document of the load endpoint.
type ReportDocument struct {
	Versions []versionDocument `json:"versions"`
	Draining bool              `json:"draining"`
	Cold     bool              `json:"cold"`
	Running  int               `json:"running"`
}

var _ Client = (*HTTPClient)(nil)

// NewHTTPClient returns a client for an upstream with a number of slots. It never
// has more than the given number of connections open.
func NewHTTPClient(address string, slots, connections int) *HTTPClient {
	callConnections := max(1, connections-controlConnections)
	limiter := &limitedDialer{dialer: net.Dialer{Timeout: dialTimeout}, tokens: make(chan struct{}, connections)}
	newTransport := func(limit int, reuse bool) *http.Transport {
		return &http.Transport{
			MaxResponseHeaderBytes: maxHeadBytes,
			DialContext:            limiter.dial, MaxConnsPerHost: limit, MaxIdleConnsPerHost: limit,
			IdleConnTimeout: transportIdleTimeout, DisableKeepAlives: !reuse, DisableCompression: true,
		}
	}
	return &HTTPClient{
		baseURL:   "http://" + address,
		reusing:   newTransport(max(1, min(slots, callConnections/2)), true),
		singleUse: newTransport(max(1, min(slots, callConnections/2)), false),
		control:   newTransport(controlConnections, false),
	}
}

// EncodeReport returns the JSON document of a report.
func EncodeReport(r Report) ReportDocument {
	d := ReportDocument{Draining: r.Draining, Cold: r.Cold, Running: r.Running, Versions: []versionDocument{}}
	for _, v := range r.Versions {
		d.Versions = append(d.Versions, versionDocument{Number: v.Number(), Map: v.ShardMap()})
	}
	return d
}

// Cancel implements Client.
func (c *HTTPClient) Cancel(ctx context.Context, attemptID string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodDelete, c.baseURL+"/v1/attempts/"+attemptID, nil)
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
	c.reusing.CloseIdleConnections()
	c.singleUse.CloseIdleConnections()
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	err := c.Conn.Close()
	c.closeOnce.Do(func() { <-c.tokens })
	return err
}

// FetchReport implements Client.
func (c *HTTPClient) FetchReport(ctx context.Context) (Report, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.baseURL+"/v1/load", nil)
	if err != nil {
		return Report{}, fmt.Errorf("build load request: %w", err)
	}
	response, err := c.control.RoundTrip(request)
	if err != nil {
		return Report{}, &UnreachableError{Err: err}
	}
	defer response.Body.Close()
	data, err := readReply(response)
	if err != nil {
		return Report{}, &BrokenError{Err: err}
	}
	return DecodeReport(data)
}

// DecodeReport parses the JSON document of a report.
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
		httptrace.WithClientTrace(ctx, trace), http.MethodPost, c.baseURL+"/v1/run", bytes.NewReader(call.Body))
	if err != nil {
		return Reply{}, &UnreachableError{Err: err}
	}
	setHeaders(request.Header, call)
	transport := c.reusing
	if !call.Idempotent {
		transport = c.singleUse
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return Reply{}, classifyRunError(ctx, err, connected.Load())
	}
	defer response.Body.Close()
	body, err := readReply(response)
	if err != nil {
		return Reply{}, classifyRunError(ctx, err, true)
	}
	return decodeReply(response, call, body)
}

// readReply returns the complete body of a response.
func readReply(response *http.Response) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err != nil {
		return nil, fmt.Errorf("read body: %w", err)
	}
	if len(body) > maxResponseBytes {
		return nil, &TooLargeError{What: "body", Bound: maxResponseBytes}
	}
	return body, nil
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
		return Reply{}, &BrokenError{Err: errors.New("response belongs to another attempt")}
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

func classifyRunError(ctx context.Context, err error, connected bool) error {
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
	case d.tokens <- struct{}{}:
	case <-ctx.Done():
		return nil, fmt.Errorf("wait for a free connection: %w", ctx.Err())
	}
	conn, err := d.dialer.DialContext(ctx, network, address)
	if err != nil {
		<-d.tokens
		return nil, fmt.Errorf("connect to upstream: %w", err)
	}
	return &limitedConn{Conn: conn, tokens: d.tokens}, nil
}
