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
	// maxValueSize bounds what is read, in bytes; values are at most 1 MB
	// before their base 64 encoding.
	maxValueSize = 4 << 20
	callTimeout  = 2 * time.Second
	// watchGrace is how much longer than its wait a watch may take.
	watchGrace      = 2 * time.Second
	storeIdle       = 20 * time.Second
	storeDial       = time.Second
	storeIdleConns  = 4
	basePath        = "/v1/kv/"
	trueReply       = "true"
	maxErrorMessage = 200
)

// An HTTPStore is the Store behind an HTTP interface of the Consul form.
type HTTPStore struct {
	base   string
	client *http.Client
	idle   *http.Transport
}

type pair struct {
	Key         string
	Value       []byte
	ModifyIndex uint64
}

var _ Store = (*HTTPStore)(nil)

// NewHTTPStore returns a Store that calls this address.
func NewHTTPStore(address string) *HTTPStore {
	transport := &http.Transport{
		DialContext:     (&net.Dialer{Timeout: storeDial}).DialContext,
		IdleConnTimeout: storeIdle, MaxIdleConnsPerHost: storeIdleConns,
	}
	return &HTTPStore{base: "http://" + address + basePath, client: &http.Client{Transport: transport}, idle: transport}
}

// CompareAndSwap implements Store.
func (s *HTTPStore) CompareAndSwap(ctx context.Context, key string, value []byte, revision uint64) (bool, error) {
	return s.change(ctx, http.MethodPut, key, value, revision)
}

// Delete implements Store.
func (s *HTTPStore) Delete(ctx context.Context, key string, revision uint64) (bool, error) {
	return s.change(ctx, http.MethodDelete, key, nil, revision)
}

// DeleteTree implements Store.
func (s *HTTPStore) DeleteTree(ctx context.Context, prefix string) error {
	status, data, err := s.call(ctx, http.MethodDelete, escape(prefix)+"?recurse", nil, callTimeout)
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
func (s *HTTPStore) Watch(ctx context.Context, key string, revision uint64, wait time.Duration) (Entry, error) {
	query := url.Values{
		"index": {strconv.FormatUint(revision, 10)},
		"wait":  {strconv.FormatInt(wait.Milliseconds(), 10) + "ms"},
	}
	return s.read(ctx, key, query, wait+watchGrace)
}

func (s *HTTPStore) call(ctx context.Context, method, path string, body []byte, timeout time.Duration) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, s.base+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, fmt.Errorf("build store call: %w", err)
	}
	response, err := s.client.Do(request)
	if err != nil {
		// A connection that went silent must not be used again.
		s.idle.CloseIdleConnections()
		return 0, nil, fmt.Errorf("call store: %w", err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxValueSize))
	if err != nil {
		return 0, nil, fmt.Errorf("read store reply: %w", err)
	}
	return response.StatusCode, data, nil
}

func (s *HTTPStore) change(ctx context.Context, method, key string, value []byte, revision uint64) (bool, error) {
	path := escape(key) + "?cas=" + strconv.FormatUint(revision, 10)
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
	path := escape(key)
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
	var pairs []pair
	if err := json.Unmarshal(data, &pairs); err != nil {
		return Entry{}, fmt.Errorf("decode store reply: %w", err)
	}
	if len(pairs) != 1 || pairs[0].ModifyIndex == 0 {
		return Entry{}, fmt.Errorf("decode store reply: %d entries for %q", len(pairs), key)
	}
	return NewEntry(key, pairs[0].Value, pairs[0].ModifyIndex), nil
}

func escape(key string) string {
	parts := strings.Split(key, "/")
	for i, p := range parts {
		parts[i] = url.PathEscape(p)
	}
	return strings.Join(parts, "/")
}

func statusError(status int, data []byte) error {
	return fmt.Errorf("store replied with status %d: %.*s", status, maxErrorMessage, data)
}
