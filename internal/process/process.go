// Package process provides what all programs of foxtailshelf have in common: logs, the
// operations endpoint, signals and the graceful stop.
package process

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log"
	"math"
	"net"
	"net/http"
	"net/http/pprof"
	"os"
	"os/signal"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/gorilla/mux"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/foxtailshelf/foxtailshelf/internal/footprint"
	"github.com/foxtailshelf/foxtailshelf/internal/invariant"
	"github.com/foxtailshelf/foxtailshelf/internal/logqueue"
	"github.com/foxtailshelf/foxtailshelf/internal/timeline"
)

const (
	// timelineCapacity is the number of events that a process keeps.
	timelineCapacity = 8192
	// readHeaderTimeout is how long a client may take to send the headers of a request.
	readHeaderTimeout = 5 * time.Second
	// gracefulStopTimeout limits the duration of Process.Shutdown, unless the program sets
	// another limit: after it, the context of Shutdown is cancelled.
	gracefulStopTimeout = 2 * time.Minute
	// defaultCloseTimeout is how long an HTTP server may take to finish requests in
	// flight after the tasks have been cancelled.
	defaultCloseTimeout = 2 * time.Second
	maxHeaderBytes      = 64 << 10
	// maxBoundedHeadBytes limits the head of a request whose connection a footprint.Budget bounds. The
	// limit that applies first is that of the budget.
	maxBoundedHeadBytes = 1 << 20
	// operationsTimeout limits the requests to the operations endpoint, CPU profiles included.
	operationsTimeout = 2 * time.Minute
	// stopFlushTimeout limits how long a process that ends waits for its standard output. It is part
	// of the grace of a stop.
	stopFlushTimeout = 80 * time.Millisecond
	// crashFlushTimeout is the limit for a process that ends without a stop.
	crashFlushTimeout = 200 * time.Millisecond
)

// A Process runs the tasks of one program. Name, Host, LogLevel, MemoryBytes and Descriptors must be set
// before Init, the other exported fields before Run.
type Process struct {
	Name string
	Host string
	// OperationsAddress is the address on which metrics, health and the timeline are
	// served.
	OperationsAddress string
	LogLevel          string
	// MemoryBytes and Descriptors are the limits of the process, which bound what callers make it hold;
	// zero for footprint.DefaultMemoryBytes and for the limit that the system states.
	MemoryBytes int64
	Descriptors int
	// NotReadyReason returns why the process is not ready; empty if it is ready.
	NotReadyReason func() string
	// State returns the state that the operations endpoint serves as JSON.
	State func() any
	// Settings are the settings that the operations endpoint serves as JSON.
	Settings any
	// Revision returns the revision of the active configuration. It may be nil.
	Revision func() uint64
	// Shutdown stops the program gracefully. It is called on SIGINT or SIGTERM, before
	// the context of the tasks is cancelled, and may be nil.
	Shutdown func(context.Context)
	// ShutdownTimeout limits the duration of Shutdown; zero for gracefulStopTimeout.
	ShutdownTimeout time.Duration
	// CloseTimeout is how long the operations endpoint may take to finish requests in flight
	// after the tasks have been cancelled; zero for defaultCloseTimeout.
	CloseTimeout time.Duration
	// HandleHangup is called on SIGHUP, which means that the settings file has changed. It
	// may be nil.
	HandleHangup func()

	log      *logrus.Logger
	logQueue *logqueue.Queue
	registry *prometheus.Registry
	timeline *timeline.Ring
	recorder *invariant.Recorder
	budget   *footprint.Budget
}

// A libraryLog logs what libraries write to the standard logger.
type libraryLog struct{ process *Process }

// Write implements io.Writer.
func (l libraryLog) Write(text []byte) (int, error) {
	l.process.Log().WithField("error", strings.TrimSpace(string(text))).Warn("library reports an error")
	return len(text), nil
}

// A Task runs until its context is cancelled or it fails.
type Task func(context.Context) error

// Init creates the log, the metrics, the timeline and the recorder of violations.
func (p *Process) Init() error {
	// The default action ends the process when a pipe that it writes its lines to is closed.
	signal.Ignore(syscall.SIGPIPE)
	p.logQueue = &logqueue.Queue{Output: os.Stdout, Notice: p.droppedLinesNotice}
	p.log = logrus.New()
	p.log.SetOutput(p.logQueue)
	p.log.ExitFunc = func(code int) {
		p.logQueue.Flush(crashFlushTimeout)
		os.Exit(code)
	}
	p.log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	level, err := logrus.ParseLevel(p.LogLevel)
	if err != nil {
		return fmt.Errorf("log level: %w", err)
	}
	p.log.SetLevel(level)
	if err := unblockStandardError(); err != nil {
		p.Log().WithError(err).Warn("a panic may wait for standard error")
	}
	log.SetFlags(0)
	log.SetOutput(libraryLog{p})
	p.registry = prometheus.NewRegistry()
	p.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	p.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "foxtailshelf_dropped_log_lines_total", Help: "Log lines that standard output did not take.",
	}, func() float64 { return float64(p.logQueue.Dropped()) }))
	p.timeline = &timeline.Ring{Host: p.Host, Process: p.Name, Capacity: timelineCapacity}
	violations := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "foxtailshelf_invariant_violations_total", Help: "Broken promises by rule.",
	}, []string{"rule"})
	p.registry.MustRegister(violations)
	p.recorder = &invariant.Recorder{OnViolation: func(v invariant.Violation) {
		violations.WithLabelValues(string(v.Rule)).Inc()
		p.timeline.Add("violation", "", "%s", v.Error())
		p.log.WithField("rule", v.Rule).Error(v.Detail)
	}}
	p.initBudget()
	return nil
}

// initBudget creates the account of what callers make the process hold, and its metrics.
func (p *Process) initBudget() {
	descriptors := p.Descriptors
	var limit syscall.Rlimit
	if descriptors == 0 && syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) == nil {
		descriptors = int(min(limit.Cur, math.MaxInt32))
	}
	p.budget = footprint.NewBudget(cmp.Or(p.MemoryBytes, footprint.DefaultMemoryBytes), descriptors)
	ended := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "foxtailshelf_ended_connections_total", Help: "Connections of callers that were ended by this process, by cause and by what they did: idle, head, body, answer.",
	}, []string{"cause", "phase"})
	p.budget.OnEnd = func(c footprint.Cause, phase footprint.Phase) { ended.WithLabelValues(string(c), phase.String()).Inc() }
	p.budget.OnReport = func(r footprint.Report) {
		fields := logrus.Fields{"held-bytes": r.HeldBytes, "connections": r.Connections}
		for cause, n := range r.Ended {
			fields[string(cause)+"-ended"] = n
		}
		p.Log().WithFields(fields).Warn("connections of callers ended")
	}
	p.registry.MustRegister(ended, prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "foxtailshelf_caller_connections", Help: "Open connections of callers, at all addresses.",
	}, func() float64 { return float64(p.budget.Connections()) }), prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "foxtailshelf_caller_held_bytes", Help: "What the connections of callers count for, with their requests and answers.",
	}, func() float64 { return float64(p.budget.HeldBytes()) }))
}

// Budget returns the account of what callers make the process hold.
func (p *Process) Budget() *footprint.Budget { return p.budget }

// Log returns a logger that adds host and process to each line. It never waits for standard output.
func (p *Process) Log() logrus.FieldLogger { return p.entry() }

func (p *Process) entry() *logrus.Entry {
	return p.log.WithFields(logrus.Fields{"host": p.Host, "process": p.Name})
}

// droppedLinesNotice returns the line that is written in place of n lines.
func (p *Process) droppedLinesNotice(n int) []byte {
	e := p.entry().WithField("lines", n)
	e.Time, e.Level, e.Message = time.Now(), logrus.WarnLevel, "log lines dropped"
	// The formatter fails only for fields that JSON cannot represent.
	line, _ := e.Bytes()
	return line
}

// Recorder returns the recorder of invariant violations. Each violation is counted, logged
// and added to the timeline.
func (p *Process) Recorder() *invariant.Recorder { return p.recorder }

// Registry returns the registry of the metrics that are served.
func (p *Process) Registry() prometheus.Registerer { return p.registry }

func (p *Process) Timeline() *timeline.Ring { return p.timeline }

// Run runs the tasks until one of them fails, or until SIGINT or SIGTERM requests a
// graceful stop. Before it returns, the lines that were logged are written, as far as standard
// output takes them within stopFlushTimeout.
func (p *Process) Run(tasks ...Task) error {
	defer p.logQueue.Flush(stopFlushTimeout)
	signals, stopSignals := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stopSignals()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	operations := &Server{
		Address: p.OperationsAddress, Handler: p.operationsHandler(), Budget: p.budget, CloseTimeout: p.CloseTimeout, WriteTimeout: operationsTimeout,
	}
	tasks = append(tasks, operations.Run)
	if p.Revision != nil {
		p.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "foxtailshelf_revision", Help: "Revision of the configuration in force.",
		}, func() float64 { return float64(p.Revision()) }))
	}
	for _, task := range tasks {
		group.Go(func() error { return p.runTask(ctx, task) })
	}
	group.Go(func() error {
		select {
		case <-signals.Done():
			p.shutdown(ctx)
			cancel()
		case <-ctx.Done():
		}
		return nil
	})
	group.Go(func() error { return p.handleHangups(ctx) })
	p.Log().Info("started")
	err := group.Wait()
	if err != nil && !errors.Is(err, context.Canceled) {
		return fmt.Errorf("run %s: %w", p.Name, err)
	}
	p.Log().Info("stopped")
	return nil
}

// runTask runs a task. If the task panics, the last lines are written before the process ends.
func (p *Process) runTask(ctx context.Context, task Task) error {
	panics := true
	defer func() {
		if panics {
			p.logQueue.Flush(crashFlushTimeout)
		}
	}()
	err := task(ctx)
	panics = false
	return err
}

// handleHangups calls HandleHangup on SIGHUP. If HandleHangup is nil, it ignores the
// signal, because an unhandled SIGHUP ends the process.
func (p *Process) handleHangups(ctx context.Context) error {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	// The default action would end the process while it closes.
	defer signal.Ignore(syscall.SIGHUP)
	for {
		select {
		case <-hangups:
			if p.HandleHangup != nil {
				p.HandleHangup()
			}
		case <-ctx.Done():
			return nil
		}
	}
}

// shutdown calls Shutdown with a context that ends after ShutdownTimeout.
func (p *Process) shutdown(ctx context.Context) {
	p.Log().Info("leaving")
	ctx, cancel := context.WithTimeout(ctx, cmp.Or(p.ShutdownTimeout, gracefulStopTimeout))
	defer cancel()
	if p.Shutdown != nil {
		p.Shutdown(ctx)
	}
}

func (p *Process) operationsHandler() http.Handler {
	router := mux.NewRouter()
	router.Handle("/metrics", promhttp.HandlerFor(p.registry, promhttp.HandlerOpts{}))
	router.HandleFunc("/v1/healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprintln(w, "ok") })
	router.HandleFunc("/v1/readyz", p.handleReady)
	router.HandleFunc("/v1/settings", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.Settings) })
	router.HandleFunc("/debug/pprof/profile", pprof.Profile)
	router.HandleFunc("/debug/pprof/heap", pprof.Handler("heap").ServeHTTP)
	router.HandleFunc("/v1/events", func(w http.ResponseWriter, r *http.Request) {
		writeJSON(w, p.timeline.Events(r.URL.Query().Get("request")))
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

// A Server serves HTTP. Its exported fields are set before Run.
type Server struct {
	// Address is the address on which Run listens.
	Address string
	Handler http.Handler
	// Budget bounds what the connections that Run accepts hold; nil for no bound.
	Budget *footprint.Budget
	// CloseTimeout is how long requests in flight may take once the context has ended; zero for
	// defaultCloseTimeout.
	CloseTimeout time.Duration
	// WriteTimeout is how long a request may take from its head to the end of its response; zero for
	// no limit.
	WriteTimeout time.Duration
}

// HTTPTask returns a task that listens on an address and serves a handler to callers.
func (p *Process) HTTPTask(address string, handler http.Handler) Task {
	return (&Server{Address: address, Handler: handler, Budget: p.budget, CloseTimeout: p.CloseTimeout}).Run
}

// HTTPTask returns a task that listens on an address and serves a handler, without bounds.
func HTTPTask(address string, handler http.Handler) Task {
	return (&Server{Address: address, Handler: handler}).Run
}

// Run listens on Address and serves until the context ends, as Serve does.
func (s *Server) Run(ctx context.Context) error {
	var listener net.Listener
	var err error
	if s.Budget != nil {
		listener, err = footprint.Listen(ctx, s.Address, s.Budget)
	} else {
		listener, err = net.Listen("tcp", s.Address)
	}
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	return s.Serve(ctx, listener)
}

// connectionUsedKey is the context key of a connection's *atomic.Bool.
// MarkFirstOnConnection sets the value for the first request on the connection.
type connectionUsedKey struct{}

// MarkFirstOnConnection reports whether a request that ServeHTTP serves is the first on
// its connection. It marks the connection as used, so it must be called exactly once
// per request: a second call for the first request returns false.
func MarkFirstOnConnection(ctx context.Context) bool {
	used, ok := ctx.Value(connectionUsedKey{}).(*atomic.Bool)
	return ok && !used.Swap(true)
}

// Serve serves on a listener until the context ends. It then waits for the requests in flight and
// closes all connections; its error says if requests were cut.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	var running atomic.Int64
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		running.Add(1)
		defer running.Add(-1)
		s.Handler.ServeHTTP(w, r)
		// The server keeps the request while it reads the rest of the body, and until a refused caller
		// has received the response. It needs the fields no more.
		r.Header = nil
	})
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes, WriteTimeout: s.WriteTimeout,
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return footprint.NewContext(context.WithValue(ctx, connectionUsedKey{}, &atomic.Bool{}), conn)
		},
	}
	if s.Budget != nil {
		server.ReadHeaderTimeout, server.MaxHeaderBytes, server.ConnState = 0, maxBoundedHeadBytes, footprint.TrackState
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
		stop, cancel := context.WithTimeout(context.Background(), cmp.Or(s.CloseTimeout, defaultCloseTimeout))
		defer cancel()
		err := server.Shutdown(stop)
		_ = server.Close()
		// Shutdown also waits for new connections on which no request has begun.
		if n := running.Load(); err != nil && n > 0 {
			return fmt.Errorf("%d requests cut at %s: %w", n, listener.Addr(), err)
		}
		return nil
	})
	return group.Wait()
}

// ServeHTTP serves a handler on a listener until the context ends, as Server.Serve does.
func ServeHTTP(ctx context.Context, listener net.Listener, handler http.Handler) error {
	return (&Server{Handler: handler}).Serve(ctx, listener)
}

func writeJSON(w http.ResponseWriter, document any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(document)
}
