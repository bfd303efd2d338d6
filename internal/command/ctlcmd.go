package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"github.com/foxtailshelf/foxtailshelf/internal/hostlist"
	"github.com/foxtailshelf/foxtailshelf/internal/keyvalue"
	"github.com/foxtailshelf/foxtailshelf/internal/operator"
	"github.com/foxtailshelf/foxtailshelf/internal/peer"
)

const ctlHelp = `
Statements:
  show services|kinds|upstreams|shards|hosts|changes|requests|settings [where COLUMN =|!=|~ VALUE [and ...]]
  apply file FILE                          create or replace services
  drain upstream NAME of SERVICE           send it no new requests
  resume upstream NAME of SERVICE
  set upstream NAME of SERVICE slots|connections|address VALUE
  set kind NAME of SERVICE urgency|deadline-milliseconds VALUE
  remove upstream NAME of SERVICE
  remove service NAME

Examples:
  foxtailctl do "show upstreams where service = screening and drain = true"
  foxtailctl do --dry-run "drain upstream s1-a of screening"
  foxtailctl do --revision 12 "drain upstream s1-a of screening"
  foxtailctl do --operations 127.0.0.1:7301 "show requests where answered ~ partial"
  foxtailctl timeline --operations 127.0.0.1:7401,127.0.0.1:7301 --kind member
  foxtailctl explain r-17 --operations 127.0.0.1:7401,127.0.0.1:7301
  foxtailctl explain r-17 --logs host-1.log,host-2.log

Exit codes: 0 done, 1 failed, 2 bad input, 3 stale revision, 4 unsafe without
--confirm, 5 accepted but not confirmed by every host, 6 unknown whether accepted.`

const (
	// confirmTimeout is how long hosts may take to activate a change.
	confirmTimeout = 18 * time.Second
	// defaultStoreAddress and defaultHostListAddress are used without --store and
	// --host-list.
	defaultStoreAddress    = "127.0.0.1:8500"
	defaultHostListAddress = "127.0.0.1:8501"
)

// control holds the flags and arguments of one run of foxtailctl.
type control struct {
	storeAddress, hostListAddress string
	plain                         bool
	dryRun                        bool
	confirm                       bool
	// expectedRevision is the catalog revision on which a change must be based, or -1
	// if any revision will do.
	expectedRevision    int
	statement           string
	operationsAddresses string
	requestID           string
	logPaths            string
	eventKind           string
	out                 io.Writer
}

// ControlMain runs foxtailctl and returns its exit code.
func ControlMain(arguments []string) int {
	c := &control{storeAddress: defaultStoreAddress, hostListAddress: defaultHostListAddress, expectedRevision: -1, out: os.Stdout}
	parser := newParser("foxtailctl", "Shows the state of foxtailshelf and changes its catalog safely.", ctlHelp)
	parser.String(&c.storeAddress, "", "store", "Address of the key-value service.")
	parser.String(&c.hostListAddress, "", "host-list", "Address of the host list.")
	parser.Bool(&c.plain, "p", "plain", "Print tab-separated lines without a frame.")
	do := flaggy.NewSubcommand("do")
	do.Description = "Run one statement."
	do.AddPositionalValue(&c.statement, "statement", 1, true, "The statement, in quotes.")
	do.Bool(&c.dryRun, "n", "dry-run", "Print what would change, and change nothing.")
	do.Bool(&c.confirm, "", "confirm", "Apply the change even if shards or services can no longer answer.")
	do.String(&c.operationsAddresses, "o", "operations", "Operations addresses, separated by commas, for show requests and show settings.")
	do.Int(&c.expectedRevision, "r", "revision", "Refuse the change unless the catalog is at this revision.")
	events := flaggy.NewSubcommand("timeline")
	events.Description = "Merge the events of several processes."
	events.String(&c.operationsAddresses, "o", "operations", "Operations addresses, separated by commas.")
	events.String(&c.requestID, "", "request", "Only the events of this request.")
	events.String(&c.eventKind, "k", "kind", "Only the events of this kind.")
	parser.AttachSubcommand(do, 1)
	parser.AttachSubcommand(events, 1)
	explain := flaggy.NewSubcommand("explain")
	explain.Description = "Show what happened to one request, and why."
	explain.AddPositionalValue(&c.requestID, "request", 1, true, "The request id.")
	explain.String(&c.operationsAddresses, "o", "operations", "Operations addresses, separated by commas.")
	explain.String(&c.logPaths, "l", "logs", "Log files of processes, separated by commas, in place of addresses.")
	parser.AttachSubcommand(explain, 1)
	if err := parser.ParseArgs(arguments); err != nil {
		return reportError(os.Stderr, "foxtailctl", &ExitError{Code: ExitUsage, Err: err})
	}
	switch {
	case do.Used:
		return reportError(os.Stderr, "foxtailctl", c.runStatement(context.Background()))
	case events.Used:
		return reportError(os.Stderr, "foxtailctl", c.printTimeline(context.Background()))
	case explain.Used && c.logPaths != "":
		return reportError(os.Stderr, "foxtailctl", explainLogs(c.out, c.requestID, strings.Split(c.logPaths, ",")))
	case explain.Used:
		return reportError(os.Stderr, "foxtailctl", c.explainRequest(context.Background()))
	default:
		return reportError(os.Stderr, "foxtailctl", &ExitError{Code: ExitUsage, Err: errors.New("no command; see foxtailctl --help")})
	}
}

func (c *control) runStatement(ctx context.Context) error {
	statement, err := operator.Parse(c.statement)
	if err != nil {
		return &ExitError{Code: ExitUsage, Err: err}
	}
	var store keyvalue.Store = keyvalue.NewHTTPStore(c.storeAddress)
	if !statement.ModifiesCatalog() {
		store = &keyvalue.ReadOnlyStore{Store: store}
	}
	if c.dryRun {
		store = &keyvalue.DryRunStore{Store: store}
	}
	publisher := &operator.Publisher{Store: store}
	if !statement.ModifiesCatalog() {
		return c.showTable(ctx, publisher, statement.Show)
	}
	return c.applyChange(ctx, publisher, statement)
}

func (c *control) applyChange(ctx context.Context, publisher *operator.Publisher, statement *operator.Statement) error {
	base, headRevision, err := publisher.Read(ctx)
	if err != nil {
		return err
	}
	if c.expectedRevision >= 0 && uint64(c.expectedRevision) != base.Revision() {
		return &ExitError{Code: ExitStale, Err: &operator.StaleError{BaseRevision: uint64(c.expectedRevision), CurrentRevision: base.Revision()}}
	}
	change, err := statement.Plan(base, os.ReadFile)
	if err != nil {
		return &ExitError{Code: ExitUsage, Err: err}
	}
	c.printChange(change)
	if change.IsEmpty() {
		return nil
	}
	if len(change.Outages()) > 0 && !c.confirm {
		return &ExitError{Code: ExitUnsafe, Err: errors.New("refused: shards or services could no longer answer after the change; use --confirm to apply it anyway")}
	}
	if c.dryRun {
		return nil
	}
	next, err := publisher.Publish(ctx, base, headRevision, change)
	if err != nil {
		return withExitCode(err)
	}
	_, _ = fmt.Fprintf(c.out, "accepted as revision %d\n", next.Revision())
	return c.awaitActive(ctx, next.Revision())
}

func (c *control) printChange(change *operator.Change) {
	_, _ = fmt.Fprintf(c.out, "based on revision %d\n", change.BaseRevision())
	if change.IsEmpty() {
		_, _ = fmt.Fprintln(c.out, "nothing to change")
	}
	for _, l := range change.DiffLines() {
		_, _ = fmt.Fprintln(c.out, l)
	}
	for _, o := range change.Outages() {
		_, _ = fmt.Fprintf(c.out, "! unable to answer: %s\n", o)
	}
}

// awaitActive waits until every listed host reports that a revision, or a later one,
// is active. After confirmTimeout it returns an error that names the hosts that have
// not reported it.
func (c *control) awaitActive(ctx context.Context, revision uint64) error {
	deadline := time.Now().Add(confirmTimeout)
	for {
		hosts, err := c.fetchHostStates(ctx)
		if err != nil {
			return &ExitError{Code: ExitUnconfirmed, Err: err}
		}
		pending := slices.DeleteFunc(slices.Clone(hosts), func(h operator.HostState) bool {
			return h.Answered && h.Revision >= revision
		})
		if len(pending) == 0 {
			_, _ = fmt.Fprintf(c.out, "in force on all %d hosts\n", len(hosts))
			return nil
		}
		if time.Now().After(deadline) {
			return c.unconfirmedError(pending)
		}
		time.Sleep(time.Second / 4)
	}
}

func (c *control) unconfirmedError(pending []operator.HostState) error {
	var names []string
	for _, h := range pending {
		names = append(names, h.Host)
	}
	return &ExitError{Code: ExitUnconfirmed, Err: fmt.Errorf("accepted, but not confirmed by %s", strings.Join(names, ", "))}
}

// fetchHostStates asks the gates of all listed hosts for their states.
func (c *control) fetchHostStates(ctx context.Context) ([]operator.HostState, error) {
	hosts, err := hostlist.NewHTTPList(c.hostListAddress).Hosts(ctx)
	if err != nil {
		return nil, fmt.Errorf("read host list: %w", err)
	}
	gates := peer.NewGateClient()
	defer gates.Close()
	var states []operator.HostState
	for _, h := range hosts {
		states = append(states, fetchHostState(ctx, gates, h))
	}
	return states, nil
}

func (c *control) showTable(ctx context.Context, publisher *operator.Publisher, show *operator.Show) error {
	current, _, err := publisher.Read(ctx)
	if err != nil {
		return err
	}
	var state operator.FleetState
	switch show.Table {
	case "hosts":
		state.Hosts, err = c.fetchHostStates(ctx)
	case "requests":
		state.Requests, err = c.fetchRequestStates(ctx)
	case "settings":
		state.Settings, err = c.fetchSettings(ctx)
	}
	if err != nil {
		return err
	}
	table, err := show.Evaluate(current, state)
	if err != nil {
		return &ExitError{Code: ExitUsage, Err: err}
	}
	return printTable(c.out, table, c.plain)
}

func fetchHostState(ctx context.Context, gates peer.GateTransport, h hostlist.Host) operator.HostState {
	state := operator.HostState{Host: h.Name, DataCenter: h.DataCenter, State: h.State}
	reply, err := gates.Exchange(ctx, h.GateAddress, newStateRequest())
	if err == nil {
		state.Answered = true
		state.Revision = reply.GetRevision()
		state.State = reply.GetSender().GetState()
	}
	return state
}

// withExitCode wraps a StaleError or an UncertainError with its exit code.
func withExitCode(err error) error {
	var stale *operator.StaleError
	var uncertain *operator.UncertainError
	switch {
	case errors.As(err, &stale):
		return &ExitError{Code: ExitStale, Err: err}
	case errors.As(err, &uncertain):
		return &ExitError{Code: ExitUncertain, Err: err}
	default:
		return err
	}
}
