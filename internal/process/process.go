// Package process runs what all programs of foxtailshelf have in common: logs,
// the operations endpoint, signals and the graceful stop.
package process

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/pprof"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/gorilla/mux"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/foxtailshelf/foxtailshelf/internal/invariant"
	"github.com/foxtailshelf/foxtailshelf/internal/timeline"
)

const (
	// timelineSize is how many events a process keeps.
	timelineSize = 8192
	// headerTimeout is how long a peer may take to send its headers.
	headerTimeout = 5 * time.Second
	// stopTimeout bounds a graceful stop.
	stopTimeout     = 2 * time.Minute
	shutdownTimeout = 2 * time.Second
	maxHeaderSize   = 64 << 10
)

// A Process is the frame around one program. Its exported fields are set
// before Run.
type Process struct {
	Name string
	Host string
	// OperationsAddress serves metrics, health and the time line.
	OperationsAddress string
	LogLevel          string
	// NotReadyReason returns an empty string or why the process is not ready.
	NotReadyReason func() string
	// State returns what the operations endpoint shows as the state.
	State func() any
	// Settings is the settings document, shown to operators.
	Settings any
	// Revision returns the revision of the configuration in force; may be nil.
	Revision func() uint64
	// Shutdown stops gracefully before the context of Run's tasks ends.
	Shutdown func(context.Context)
	// Reload is called when the settings file has changed (SIGHUP); may be nil.
	Reload func()

	log      *logrus.Logger
	registry *prometheus.Registry
	ring     *timeline.Ring
	recorder *invariant.Recorder
}

// A Task runs until its context ends.
type Task func(context.Context) error

// Init makes the log, the metrics and the time line.
func (p *Process) Init() error {
	p.log = logrus.New()
	p.log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	level, err := logrus.ParseLevel(p.LogLevel)
	if err != nil {
		return fmt.Errorf("log level: %w", err)
	}
	p.log.SetLevel(level)
	p.registry = prometheus.NewRegistry()
	p.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	p.ring = &timeline.Ring{Host: p.Host, Process: p.Name, Capacity: timelineSize}
	violations := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "foxtailshelf_invariant_violations_total", Help: "Broken promises by rule.",
	}, []string{"rule"})
	p.registry.MustRegister(violations)
	p.recorder = &invariant.Recorder{OnViolation: func(v invariant.Violation) {
		violations.WithLabelValues(string(v.Rule)).Inc()
		p.ring.Add("violation", "", "%s", v.Error())
		p.log.WithField("rule", v.Rule).Error(v.Detail)
	}}
	return nil
}

// Log returns the log with the host on each line.
func (p *Process) Log() logrus.FieldLogger {
	return p.log.WithFields(logrus.Fields{"host": p.Host, "process": p.Name})
}

// Recorder returns where violations are recorded.
func (p *Process) Recorder() *invariant.Recorder { return p.recorder }

// Registry returns where metrics are registered.
func (p *Process) Registry() prometheus.Registerer { return p.registry }

// Timeline returns the time line.
func (p *Process) Timeline() *timeline.Ring { return p.ring }

// Run runs the tasks until a signal to stop, then stops gracefully.
func (p *Process) Run(tasks ...Task) error {
	signals, stopSignals := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stopSignals()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	tasks = append(tasks, HTTPTask(p.OperationsAddress, p.operations()))
	if p.Revision != nil {
		p.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "foxtailshelf_revision", Help: "Revision of the configuration in force.",
		}, func() float64 { return float64(p.Revision()) }))
	}
	for _, task := range tasks {
		group.Go(func() error { return task(ctx) })
	}
	group.Go(func() error {
		select {
		case <-signals.Done():
			p.leave(ctx)
			cancel()
		case <-ctx.Done():
		}
		return nil
	})
	group.Go(func() error { return p.reloads(ctx) })
	p.Log().Info("started")
	err := group.Wait()
	if err != nil && !errors.Is(err, context.Canceled) {
		return fmt.Errorf("run %s: %w", p.Name, err)
	}
	p.Log().Info("stopped")
	return nil
}

// reloads calls Reload for each SIGHUP, which must not end the process.
func (p *Process) reloads(ctx context.Context) error {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	for {
		select {
		case <-hangups:
			if p.Reload != nil {
				p.Reload()
			}
		case <-ctx.Done():
			return nil
		}
	}
}

func (p *Process) leave(ctx context.Context) {
	p.Log().Info("leaving")
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	if p.Shutdown != nil {
		p.Shutdown(ctx)
	}
}

func (p *Process) operations() http.Handler {
	router := mux.NewRouter()
	router.Handle("/metrics", promhttp.HandlerFor(p.registry, promhttp.HandlerOpts{}))
	router.HandleFunc("/v1/healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprintln(w, "ok") })
	router.HandleFunc("/v1/readyz", p.handleReady)
	router.HandleFunc("/v1/settings", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.Settings) })
	router.HandleFunc("/debug/pprof/profile", pprof.Profile)
	router.HandleFunc("/debug/pprof/heap", pprof.Handler("heap").ServeHTTP)
	router.HandleFunc("/v1/events", func(w http.ResponseWriter, r *http.Request) {
		writeJSON(w, p.ring.Events(r.URL.Query().Get("request")))
	})
	router.HandleFunc("/v1/state", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.State()) })
	return router
}

func (p *Process) handleReady(w http.ResponseWriter, _ *http.Request) {
	if reason := p.NotReadyReason(); reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	_, _ = fmt.Fprintln(w, "ready")
}

// HTTPTask serves a handler on an address until the context ends, and then
// finishes the requests in flight.
func HTTPTask(address string, handler http.Handler) Task {
	return func(ctx context.Context) error {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return fmt.Errorf("listen: %w", err)
		}
		return ServeHTTP(ctx, listener, handler)
	}
}

// connectionKey is the key of the *atomic.Bool of a connection that is set once a
// request has come on it.
type connectionKey struct{}

// FirstOnConnection reports whether a request that HTTPTask serves is the first on
// its connection. It must be asked once a request.
func FirstOnConnection(ctx context.Context) bool {
	used, ok := ctx.Value(connectionKey{}).(*atomic.Bool)
	return ok && !used.Swap(true)
}

// ServeHTTP serves a handler on a listener until the context ends, and then
// finishes the requests in flight.
func ServeHTTP(ctx context.Context, listener net.Listener, handler http.Handler) error {
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderSize,
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
			return context.WithValue(ctx, connectionKey{}, &atomic.Bool{})
		},
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		err := server.Serve(listener)
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return fmt.Errorf("serve %s: %w", listener.Addr(), err)
	})
	group.Go(func() error {
		<-ctx.Done()
		stop, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		return server.Shutdown(stop)
	})
	return group.Wait()
}

func writeJSON(w http.ResponseWriter, document any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(document)
}
