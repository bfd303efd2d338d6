// Package hostlist defines the interface to the platform's list of hosts and implements an HTTP
// client for it.
package hostlist

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

const (
	callTimeout  = 2 * time.Second
	maxListBytes = 4 << 20
	maxHeadBytes = 64 << 10

	// StateLive and StateLeaving are the states of a host in the list.
	StateLive    = "live"
	StateLeaving = "leaving"
)

// A Host is one entry of the platform's list of hosts. The platform updates the list
// with a delay, so an entry may be outdated.
type Host struct {
	Name         string `json:"name"`
	DataCenter   string `json:"data-center"`
	EntryAddress string `json:"entry-address"`
	GateAddress  string `json:"gate-address"`
	State        string `json:"state"`
}

// A List is the platform's list of live and leaving hosts.
type List interface {
	// Hosts reads the list.
	Hosts(ctx context.Context) ([]Host, error)
}

// An HTTPList is a client of the platform's list of hosts over HTTP.
type HTTPList struct {
	url    string
	client *http.Client
}

var _ List = (*HTTPList)(nil)

// NewHTTPList returns a client of the list at an address.
func NewHTTPList(address string) *HTTPList {
	transport := &http.Transport{DialContext: (&net.Dialer{Timeout: callTimeout}).DialContext, DisableKeepAlives: true, MaxResponseHeaderBytes: maxHeadBytes}
	return &HTTPList{
		url:    "http://" + address + "/v1/hosts",
		client: &http.Client{Transport: transport, Timeout: callTimeout},
	}
}

// Decode decodes a list in JSON and checks that each host has a name and a gate address.
func Decode(data []byte) ([]Host, error) {
	var hosts []Host
	if err := json.Unmarshal(data, &hosts); err != nil {
		return nil, fmt.Errorf("decode host list: %w", err)
	}
	for i, h := range hosts {
		if h.Name == "" || h.GateAddress == "" {
			return nil, fmt.Errorf("decode host list: entry %d has no name or gate address", i)
		}
	}
	return hosts, nil
}

// Hosts implements List.
func (l *HTTPList) Hosts(ctx context.Context) ([]Host, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, l.url, nil)
	if err != nil {
		return nil, fmt.Errorf("build host list call: %w", err)
	}
	response, err := l.client.Do(request)
	if err != nil {
		return nil, fmt.Errorf("call host list: %w", err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxListBytes))
	if err != nil {
		return nil, fmt.Errorf("read host list: %w", err)
	}
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("host list replied with status %d", response.StatusCode)
	}
	return Decode(data)
}
