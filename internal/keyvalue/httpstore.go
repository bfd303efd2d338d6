package keyvalue

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"
)

const (
	// maxResponseBytes bounds the size of a response. Values are at most 1 MB before their
	// base64 encoding.
	maxResponseBytes = 4 << 20
	// maxHeadBytes bounds the head of a response.
	maxHeadBytes = 64 << 10
	callTimeout  = 2 * time.Second
	// watchGracePeriod is added to the wait of a watch to give the timeout of the call.
	watchGracePeriod = 2 * time.Second
	idleConnTimeout  = 20 * time.Second
	dialTimeout      = time.Second
	maxIdleConns     = 4
	basePath         = "/v1/kv/"
	trueReply        = "true"
	// maxErrorRunes bounds the part of a response that is quoted in an error.
	maxErrorRunes = 200
)

// An HTTPStore is a client of the key-value service over an HTTP API like that of
// Consul.
type HTTPStore struct {
	baseURL   string
	client    *http.Client
	transport *http.Transport
}

// A consulPair is one entry of a response. The names of its fields are the JSON keys.
type consulPair struct {
	Key         string
	Value       []byte
	ModifyIndex uint64
}

var _ Store = (*HTTPStore)(nil)

// NewHTTPStore returns a client of the store at an address.
func NewHTTPStore(address string) *HTTPStore {
	transport := &http.Transport{
		MaxResponseHeaderBytes: maxHeadBytes,
		DialContext:            (&net.Dialer{Timeout: dialTimeout}).DialContext,
		IdleConnTimeout:        idleConnTimeout, MaxIdleConnsPerHost: maxIdleConns,
	}
	return &HTTPStore{baseURL: "http://" + address + basePath, client: &http.Client{Transport: transport}, transport: transport}
}

// CompareAndSwap implements Store.
func (s *HTTPStore) CompareAndSwap(ctx context.Context, key string, value []byte, revision uint64) (bool, error) {
	return s.changeAtRevision(ctx, http.MethodPut, key, value, revision)
}

// Delete implements Store.
func (s *HTTPStore) Delete(ctx context.Context, key string, revision uint64) (bool, error) {
	return s.changeAtRevision(ctx, http.MethodDelete, key, nil, revision)
}

// DeleteTree implements Store.
func (s *HTTPStore) DeleteTree(ctx context.Context, prefix string) error {
	status, data, err := s.call(ctx, http.MethodDelete, escapePath(prefix)+"?recurse", nil, callTimeout)
	if err == nil && status != http.StatusOK {
		err = statusError(status, data)
	}
	return err
}

// Get implements Store.
func (s *HTTPStore) Get(ctx context.Context, key string) (Entry, error) {
	return s.read(ctx, key, nil, callTimeout)
}

// Watch implements Store.
func (s *HTTPStore) Watch(ctx context.Context, key string, haveRevision uint64, wait time.Duration) (Entry, error) {
	query := url.Values{
		"index": {strconv.FormatUint(haveRevision, 10)},
		"wait":  {strconv.FormatInt(wait.Milliseconds(), 10) + "ms"},
	}
	return s.read(ctx, key, query, wait+watchGracePeriod)
}

func (s *HTTPStore) call(ctx context.Context, method, path string, body []byte, timeout time.Duration) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, s.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, fmt.Errorf("build store call: %w", err)
	}
	response, err := s.client.Do(request)
	if err != nil {
		// The idle connections may have gone silent too, so the next call must not
		// reuse one.
		s.transport.CloseIdleConnections()
		return 0, nil, fmt.Errorf("call store: %w", err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return 0, nil, fmt.Errorf("read store reply: %w", err)
	}
	return response.StatusCode, data, nil
}

// changeAtRevision writes or deletes a key, according to the HTTP method, if the key is
// still at the given revision. It reports whether the key was changed.
func (s *HTTPStore) changeAtRevision(ctx context.Context, method, key string, value []byte, revision uint64) (bool, error) {
	path := escapePath(key) + "?cas=" + strconv.FormatUint(revision, 10)
	status, data, err := s.call(ctx, method, path, value, callTimeout)
	if err != nil {
		return false, err
	}
	if status != http.StatusOK {
		return false, statusError(status, data)
	}
	return strings.TrimSpace(string(data)) == trueReply, nil
}

func (s *HTTPStore) read(ctx context.Context, key string, query url.Values, timeout time.Duration) (Entry, error) {
	path := escapePath(key)
	if len(query) > 0 {
		path += "?" + query.Encode()
	}
	status, data, err := s.call(ctx, http.MethodGet, path, nil, timeout)
	if err != nil {
		return Entry{}, err
	}
	switch status {
	case http.StatusNotFound:
		return Entry{}, &NotFoundError{Key: key}
	case http.StatusOK:
		return decodeEntry(key, data)
	default:
		return Entry{}, statusError(status, data)
	}
}

func decodeEntry(key string, data []byte) (Entry, error) {
	var pairs []consulPair
	if err := json.Unmarshal(data, &pairs); err != nil {
		return Entry{}, fmt.Errorf("decode store reply: %w", err)
	}
	if len(pairs) != 1 || pairs[0].ModifyIndex == 0 {
		return Entry{}, fmt.Errorf("decode store reply: got %d entries for %q, want one with a revision", len(pairs), key)
	}
	return NewEntry(key, pairs[0].Value, pairs[0].ModifyIndex), nil
}

// escapePath escapes the segments of a key for a URL path.
func escapePath(key string) string {
	parts := strings.Split(key, "/")
	for i, p := range parts {
		parts[i] = url.PathEscape(p)
	}
	return strings.Join(parts, "/")
}

func statusError(status int, data []byte) error {
	return fmt.Errorf("store replied with status %d: %.*s", status, maxErrorRunes, data)
}
