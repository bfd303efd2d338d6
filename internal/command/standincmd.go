package command

import (
	"context"
	"fmt"
	"net"
	"os"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/foxtailshelf/foxtailshelf/internal/catalog"
	"github.com/foxtailshelf/foxtailshelf/internal/hostlist"
	"github.com/foxtailshelf/foxtailshelf/internal/process"
	"github.com/foxtailshelf/foxtailshelf/internal/settings"
	"github.com/foxtailshelf/foxtailshelf/internal/snapshot"
	"github.com/foxtailshelf/foxtailshelf/internal/standin"
)

// StandinSettings are the settings of foxtail-standin.
type StandinSettings struct {
	OperationsListen string `json:"operations-listen" validate:"required,hostname_port"`
	// Store and HostList are the addresses of the stand-ins for the key-value
	// service and the host list.
	Store    string `json:"store" validate:"required,hostname_port"`
	HostList string `json:"host-list" validate:"required,hostname_port"`
	// HostLagMilliseconds is how long the stand-in for the host list takes until it
	// returns a change.
	HostLagMilliseconds int                   `json:"host-lag-milliseconds" validate:"min=0,max=600000"`
	Hosts               []StandinHostSettings `json:"hosts" validate:"required,dive"`
	// Catalog is the path of a file that defines services. A stand-in runs for each
	// upstream in the file.
	Catalog string `json:"catalog" validate:"required"`
	// Version is the index version that all upstreams hold initially.
	Version  uint64 `json:"version" validate:"min=1"`
	LogLevel string `json:"log-level" validate:"required,oneof=debug info warning error"`
}

// StandinHostSettings is one host of the host list.
type StandinHostSettings struct {
	Name         string `json:"name" validate:"required,kebab"`
	DataCenter   string `json:"data-center" validate:"required,kebab"`
	EntryAddress string `json:"entry-address" validate:"required,hostname_port"`
	GateAddress  string `json:"gate-address" validate:"required,hostname_port"`
}

const standinHelp = `
Stand-ins for upstreams, the key-value service and the host list, for tests and
demonstrations. PUT /faults on each address injects faults.

Example:
  foxtail-standin --settings standin.jsonc`

const (
	// standinRestartDelay is how long an upstream refuses connections after a crash.
	standinRestartDelay = 2 * time.Second
	// standinColdPeriod is how long an upstream is cold, and slower, after the
	// restart.
	standinColdPeriod = 2 * time.Second
)

// StandinMain runs foxtail-standin and returns its exit code.
func StandinMain(arguments []string) int {
	return runDaemon("foxtail-standin", "Runs stand-ins for upstreams, the key-value service and the host list.", standinHelp, arguments, runStandin)
}

func runStandin(path string) error {
	var s StandinSettings
	if err := settings.Load(path, &s); err != nil {
		return &ExitError{Code: ExitUsage, Err: err}
	}
	p := &process.Process{Name: "standin", Host: "standin", OperationsAddress: s.OperationsListen, LogLevel: s.LogLevel, Settings: s}
	if err := p.Init(); err != nil {
		return fmt.Errorf("start: %w", err)
	}
	p.NotReadyReason = func() string { return "" }
	p.State = func() any { return s }
	hosts := &standin.HostList{PropagationDelay: time.Duration(s.HostLagMilliseconds) * time.Millisecond}
	hosts.Set(convertHosts(s.Hosts))
	tasks := []process.Task{
		process.HTTPTask(s.Store, (&standin.Store{}).Handler()),
		process.HTTPTask(s.HostList, hosts.Handler()),
	}
	upstreams, err := upstreamTasks(s, p.Registry())
	if err != nil {
		return &ExitError{Code: ExitUsage, Err: err}
	}
	tasks = append(tasks, upstreams...)
	return p.Run(tasks...)
}

// upstreamTasks returns a task for each upstream of the catalog file.
func upstreamTasks(s StandinSettings, registry prometheus.Registerer) ([]process.Task, error) {
	data, err := os.ReadFile(s.Catalog)
	if err != nil {
		return nil, fmt.Errorf("read catalog: %w", err)
	}
	services, err := catalog.ParseBundle(s.Catalog, data)
	if err != nil {
		return nil, err
	}
	runCounter := &standin.RunCounter{}
	var tasks []process.Task
	for _, service := range services {
		spec := service.Spec()
		for i, u := range spec.Upstreams {
			standIn := &standin.Upstream{
				Name: u.Name, Slots: u.Slots, RestartDelay: standinRestartDelay, ColdPeriod: standinColdPeriod, Seed: uint64(i), RunCounter: runCounter,
			}
			standIn.SetVersions(snapshot.New(s.Version, spec.ShardMaps[0].Name))
			tasks = append(tasks, upstreamTask(u, standIn, registry))
		}
	}
	return tasks, nil
}

// upstreamTask returns a task that serves one upstream with its connection limit.
func upstreamTask(u catalog.UpstreamSpec, standIn *standin.Upstream, registry prometheus.Registerer) process.Task {
	return func(ctx context.Context) error {
		listener, err := net.Listen("tcp", u.Address)
		if err != nil {
			return fmt.Errorf("listen: %w", err)
		}
		limited := &standin.LimitListener{Listener: listener, MaxConnections: int64(u.Connections)}
		registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "standin_refused_connections_total", Help: "Connections beyond the limit of an upstream.",
			ConstLabels: prometheus.Labels{"address": u.Address},
		}, func() float64 { return float64(limited.RefusedCount()) }))
		return process.ServeHTTP(ctx, limited, standIn.Handler())
	}
}

// convertHosts returns the hosts of the settings as live hosts of the host list.
func convertHosts(list []StandinHostSettings) []hostlist.Host {
	var hosts []hostlist.Host
	for _, h := range list {
		hosts = append(hosts, hostlist.Host{
			Name: h.Name, DataCenter: h.DataCenter, EntryAddress: h.EntryAddress, GateAddress: h.GateAddress, State: hostlist.StateLive,
		})
	}
	return hosts
}
