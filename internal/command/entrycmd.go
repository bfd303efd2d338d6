package command

import (
	"fmt"
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/entry"
	"github.com/foxtailshelf/foxtailshelf/internal/hostlist"
	"github.com/foxtailshelf/foxtailshelf/internal/keyvalue"
	"github.com/foxtailshelf/foxtailshelf/internal/peer"
	"github.com/foxtailshelf/foxtailshelf/internal/process"
	"github.com/foxtailshelf/foxtailshelf/internal/settings"
)

// EntrySettings are the settings of foxtail-entry.
type EntrySettings struct {
	Host       string `json:"host" validate:"required,kebab,max=64"`
	DataCenter string `json:"data-center" validate:"required,kebab,max=64"`
	// Listen is the address on which the entry accepts callers' connections.
	Listen           string `json:"listen" validate:"required,hostname_port"`
	OperationsListen string `json:"operations-listen" validate:"required,hostname_port"`
	// Gate is the address of the gate on the same host.
	Gate     string `json:"gate" validate:"required,hostname_port"`
	Store    string `json:"store" validate:"required,hostname_port"`
	HostList string `json:"host-list" validate:"required,hostname_port"`
	LogLevel string `json:"log-level" validate:"required,oneof=debug info warning error"`
	// AddressTimeToLiveMilliseconds is how long callers may cache the entries'
	// addresses. A graceful stop takes at least this long, because callers may use a
	// cached address until then.
	AddressTimeToLiveMilliseconds int `json:"address-time-to-live-milliseconds" validate:"min=100,max=600000"`
	// MemoryMegabytes and MaxDescriptors are the limits of the process; zero for 512 MB and for the limit
	// that the system states.
	MemoryMegabytes int `json:"memory-megabytes" validate:"omitempty,min=32,max=1048576"`
	MaxDescriptors  int `json:"max-descriptors" validate:"omitempty,min=256,max=10000000"`
}

const entryHelp = `
Example:
  foxtail-entry --settings /etc/foxtailshelf/entry.jsonc

Exit codes: 0 stopped gracefully, 1 failed, 2 bad arguments or settings.`

// EntryMain runs foxtail-entry and returns its exit code.
func EntryMain(arguments []string) int {
	return runDaemon("foxtail-entry", "Accepts callers' requests, scatters them to the gates and gathers the answers.", entryHelp, arguments, runEntry)
}

func runEntry(path string) error {
	var s EntrySettings
	if err := settings.Load(path, &s); err != nil {
		return &ExitError{Code: ExitUsage, Err: err}
	}
	p := &process.Process{
		Name: "entry", Host: s.Host, OperationsAddress: s.OperationsListen, LogLevel: s.LogLevel, Settings: s,
		MemoryBytes: int64(s.MemoryMegabytes) << 20, Descriptors: s.MaxDescriptors,
	}
	if err := p.Init(); err != nil {
		return fmt.Errorf("start: %w", err)
	}
	e := newEntry(s, p)
	return p.Run(e.Run, p.HTTPTask(s.Listen, e.Handler()))
}

// newEntry returns the entry of a process and sets what the process does with it.
func newEntry(s EntrySettings, p *process.Process) *entry.Entry {
	e := &entry.Entry{
		Host: s.Host, DataCenter: s.DataCenter, Address: s.Listen, LocalGateAddress: s.Gate,
		Store: keyvalue.NewHTTPStore(s.Store), Hosts: hostlist.NewHTTPList(s.HostList), GateTransport: peer.NewGateClient(),
		Recorder: p.Recorder(), Timeline: p.Timeline(), Metrics: entry.NewMetrics(p.Registry()), Log: p.Log(),
		AddressTTL: time.Duration(s.AddressTimeToLiveMilliseconds) * time.Millisecond,
	}
	p.Shutdown, p.ShutdownTimeout = e.Leave, e.MaxLeaveDuration()
	p.Revision = func() uint64 { return e.Catalog().Revision() }
	p.NotReadyReason = e.NotReadyReason
	p.State = func() any { return e.State() }
	return e
}
