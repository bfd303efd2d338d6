package command

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/catalog"
	"github.com/foxtailshelf/foxtailshelf/internal/gate"
	"github.com/foxtailshelf/foxtailshelf/internal/hostlist"
	"github.com/foxtailshelf/foxtailshelf/internal/keyvalue"
	"github.com/foxtailshelf/foxtailshelf/internal/peer"
	"github.com/foxtailshelf/foxtailshelf/internal/process"
	"github.com/foxtailshelf/foxtailshelf/internal/roster"
	"github.com/foxtailshelf/foxtailshelf/internal/settings"
	"github.com/foxtailshelf/foxtailshelf/internal/shard"
	"github.com/foxtailshelf/foxtailshelf/internal/upstream"
)

// GateSettings are the settings of foxtail-gate.
type GateSettings struct {
	Host       string `json:"host" validate:"required,kebab,max=64"`
	DataCenter string `json:"data-center" validate:"required,kebab,max=64"`
	// Listen is the address on which the gate accepts connections of entries and
	// other gates.
	Listen string `json:"listen" validate:"required,hostname_port"`
	// EntryAddress is the address at which callers reach the entry on the same host.
	EntryAddress     string `json:"entry-address" validate:"required,hostname_port"`
	OperationsListen string `json:"operations-listen" validate:"required,hostname_port"`
	Store            string `json:"store" validate:"required,hostname_port"`
	HostList         string `json:"host-list" validate:"required,hostname_port"`
	LogLevel         string `json:"log-level" validate:"required,oneof=debug info warning error"`
	// ExtraAttemptPercent limits the extra attempts (hedges, and retries of attempts
	// that may have run) to a percentage of the started shard requests; see
	// shard.Options.ExtraAttemptRatio.
	ExtraAttemptPercent float64 `json:"hedge-percent" validate:"min=0,max=50"`
	// WarmupMilliseconds is how long a cold upstream takes to get all its slots; see
	// shard.Options.WarmupWindow.
	WarmupMilliseconds int `json:"warm-milliseconds" validate:"min=1,max=600000"`
}

const gateHelp = `
Example:
  foxtail-gate --settings /etc/foxtailshelf/gate.jsonc

Exit codes: 0 stopped gracefully, 1 failed, 2 bad arguments or settings.`

// GateMain runs foxtail-gate and returns its exit code.
func GateMain(arguments []string) int {
	return runDaemon("foxtail-gate", "Dispatches requests to the upstreams of the shards that this host owns.", gateHelp, arguments, runGate)
}

func runGate(path string) error {
	var s GateSettings
	if err := settings.Load(path, &s); err != nil {
		return &ExitError{Code: ExitUsage, Err: err}
	}
	p := &process.Process{Name: "gate", Host: s.Host, OperationsAddress: s.OperationsListen, LogLevel: s.LogLevel, Settings: s}
	if err := p.Init(); err != nil {
		return fmt.Errorf("start: %w", err)
	}
	g := newGate(s, p)
	p.Shutdown = g.Leave
	p.Revision = func() uint64 { return g.Catalog().Revision() }
	p.State = func() any { return g.State() }
	p.NotReadyReason = func() string {
		if !g.HasCatalog() {
			return "no source of the configuration has answered yet"
		}
		return ""
	}
	return p.Run(g.Run, gateTask(s.Listen, g))
}

func newGate(s GateSettings, p *process.Process) *gate.Gate {
	incarnation := uint64(time.Now().UnixMicro())
	options := shard.DefaultOptions()
	options.ExtraAttemptRatio = s.ExtraAttemptPercent / 100
	options.WarmupWindow = time.Duration(s.WarmupMilliseconds) * time.Millisecond
	options.Seed = incarnation
	return &gate.Gate{
		Self:  roster.NewMember(s.Host, s.DataCenter, s.Listen, s.EntryAddress, incarnation, roster.Alive),
		Store: keyvalue.NewHTTPStore(s.Store), Hosts: hostlist.NewHTTPList(s.HostList), GateTransport: peer.NewGateClient(),
		NewClient: func(u catalog.UpstreamSpec) upstream.Client {
			return upstream.NewHTTPClient(u.Address, u.Slots, u.Connections)
		},
		Options: options, Recorder: p.Recorder(), Timeline: p.Timeline(), Metrics: gate.NewMetrics(p.Registry()),
		Log: p.Log(), Seed: incarnation,
	}
}

// gateTask returns a task that serves the calls of entries and other gates at an
// address.
func gateTask(address string, g *gate.Gate) process.Task {
	return func(ctx context.Context) error {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return fmt.Errorf("listen: %w", err)
		}
		return peer.ServeGate(ctx, listener, g)
	}
}
