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
  drain upstream NAME of SERVICE           give it no new work
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
--confirm, 5 accepted but not confirmed by every host, 6 fate unknown.`

const (
	// confirmTime is how long hosts may take to put a change in force.
	confirmTime = 18 * time.Second
	// defaultStore and defaultHosts are used if nothing else is given.
	defaultStore = "127.0.0.1:8500"
	defaultHosts = "127.0.0.1:8501"
)

// control is one call of foxtailctl.
type control struct {
	store, hosts string
	plain        bool
	dryRun       bool
	confirm      bool
	revision     int
	statement    string
	operations   string
	request      string
	logs         string
	kind         string
	out          io.Writer
}

// ControlMain runs foxtailctl and returns its exit code.
func ControlMain(arguments []string) int {
	c := &control{store: defaultStore, hosts: defaultHosts, revision: -1, out: os.Stdout}
	parser := newParser("foxtailctl", "Reads the state of foxtailshelf and changes it safely.", ctlHelp)
	parser.String(&c.store, "", "store", "Address of the key-value service.")
	parser.String(&c.hosts, "", "host-list", "Address of the host list.")
	parser.Bool(&c.plain, "p", "plain", "Print tab-separated lines without a frame.")
	do := flaggy.NewSubcommand("do")
	do.Description = "Run one statement."
	do.AddPositionalValue(&c.statement, "statement", 1, true, "The statement, in quotes.")
	do.Bool(&c.dryRun, "n", "dry-run", "Print what would change, and change nothing.")
	do.Bool(&c.confirm, "", "confirm", "Accept that shards are left unable to answer.")
	do.String(&c.operations, "o", "operations", "Operations addresses, for show requests and show settings.")
	do.Int(&c.revision, "r", "revision", "Refuse the change unless the catalog is at this revision.")
	events := flaggy.NewSubcommand("timeline")
	events.Description = "Merge the events of several processes."
	events.String(&c.operations, "o", "operations", "Operations addresses, separated by commas.")
	events.String(&c.request, "", "request", "Only the events of this request.")
	events.String(&c.kind, "k", "kind", "Only the events of this kind.")
	parser.AttachSubcommand(do, 1)
	parser.AttachSubcommand(events, 1)
	explain := flaggy.NewSubcommand("explain")
	explain.Description = "Tell what became of one request, and why."
	explain.AddPositionalValue(&c.request, "request", 1, true, "The request id.")
	explain.String(&c.operations, "o", "operations", "Operations addresses, separated by commas.")
	explain.String(&c.logs, "l", "logs", "Log files of processes, separated by commas, in place of addresses.")
	parser.AttachSubcommand(explain, 1)
	if err := parser.ParseArgs(arguments); err != nil {
		return report(os.Stderr, "foxtailctl", &ExitError{Code: ExitUsage, Err: err})
	}
	switch {
	case do.Used:
		return report(os.Stderr, "foxtailctl", c.do(context.Background()))
	case events.Used:
		return report(os.Stderr, "foxtailctl", c.timeline(context.Background()))
	case explain.Used && c.logs != "":
		return report(os.Stderr, "foxtailctl", explainLogs(c.out, c.request, strings.Split(c.logs, ",")))
	case explain.Used:
		return report(os.Stderr, "foxtailctl", c.explain(context.Background()))
	default:
		return report(os.Stderr, "foxtailctl", &ExitError{Code: ExitUsage, Err: errors.New("no command; see foxtailctl --help")})
	}
}

func (c *control) do(ctx context.Context) error {
	statement, err := operator.Parse(c.statement)
	if err != nil {
		return &ExitError{Code: ExitUsage, Err: err}
	}
	var store keyvalue.Store = keyvalue.NewHTTPStore(c.store)
	if !statement.ModifiesCatalog() {
		store = &keyvalue.ReadOnlyStore{Store: store}
	}
	if c.dryRun {
		store = &keyvalue.DryRunStore{Store: store}
	}
	publisher := &operator.Publisher{Store: store}
	if !statement.ModifiesCatalog() {
		return c.show(ctx, publisher, statement.Show)
	}
	return c.change(ctx, publisher, statement)
}

func (c *control) change(ctx context.Context, publisher *operator.Publisher, statement *operator.Statement) error {
	base, headRevision, err := publisher.Read(ctx)
	if err != nil {
		return err
	}
	if c.revision >= 0 && uint64(c.revision) != base.Revision() {
		return &ExitError{Code: ExitStale, Err: &operator.StaleError{BaseRevision: uint64(c.revision), CurrentRevision: base.Revision()}}
	}
	change, err := statement.Plan(base, os.ReadFile)
	if err != nil {
		return &ExitError{Code: ExitUsage, Err: err}
	}
	c.printChange(change)
	if change.Empty() {
		return nil
	}
	if len(change.Outages()) > 0 && !c.confirm {
		return &ExitError{Code: ExitUnsafe, Err: errors.New("refused: the change would leave this unable to answer; use --confirm to do it all the same")}
	}
	if c.dryRun {
		return nil
	}
	next, err := publisher.Publish(ctx, base, headRevision, change)
	if err != nil {
		return publishError(err)
	}
	_, _ = fmt.Fprintf(c.out, "accepted as revision %d\n", next.Revision())
	return c.awaitForce(ctx, next.Revision())
}

func (c *control) printChange(change *operator.Change) {
	_, _ = fmt.Fprintf(c.out, "based on revision %d\n", change.BaseRevision())
	if change.Empty() {
		_, _ = fmt.Fprintln(c.out, "nothing to change")
	}
	for _, l := range change.DiffLines() {
		_, _ = fmt.Fprintln(c.out, l)
	}
	for _, d := range change.Outages() {
		_, _ = fmt.Fprintf(c.out, "! unable to answer: %s\n", d)
	}
}

// awaitForce waits until each host says that a revision is in force.
func (c *control) awaitForce(ctx context.Context, revision uint64) error {
	deadline := time.Now().Add(confirmTime)
	for {
		hosts, err := c.hostStates(ctx)
		if err != nil {
			return &ExitError{Code: ExitUnconfirmed, Err: err}
		}
		behind := slices.DeleteFunc(slices.Clone(hosts), func(h operator.HostState) bool {
			return h.Answered && h.Revision >= revision
		})
		if len(behind) == 0 {
			_, _ = fmt.Fprintf(c.out, "in force on all %d hosts\n", len(hosts))
			return nil
		}
		if time.Now().After(deadline) {
			return c.unconfirmed(behind)
		}
		time.Sleep(time.Second / 4)
	}
}

func (c *control) unconfirmed(behind []operator.HostState) error {
	var names []string
	for _, h := range behind {
		names = append(names, h.Host)
	}
	return &ExitError{Code: ExitUnconfirmed, Err: fmt.Errorf("accepted, but not confirmed by %s", strings.Join(names, ", "))}
}

// hostStates asks the gate of each listed host.
func (c *control) hostStates(ctx context.Context) ([]operator.HostState, error) {
	hosts, err := hostlist.NewHTTPList(c.hosts).Hosts(ctx)
	if err != nil {
		return nil, fmt.Errorf("read host list: %w", err)
	}
	gates := peer.NewGateClient()
	defer gates.Close()
	var states []operator.HostState
	for _, h := range hosts {
		states = append(states, askHost(ctx, gates, h))
	}
	return states, nil
}

func (c *control) show(ctx context.Context, publisher *operator.Publisher, show *operator.Show) error {
	current, _, err := publisher.Read(ctx)
	if err != nil {
		return err
	}
	var state operator.FleetState
	switch show.Table {
	case "hosts":
		state.Hosts, err = c.hostStates(ctx)
	case "requests":
		state.Requests, err = c.requestStates(ctx)
	case "settings":
		state.Settings, err = c.settingStates(ctx)
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

func askHost(ctx context.Context, gates peer.GateTransport, h hostlist.Host) operator.HostState {
	state := operator.HostState{Host: h.Name, DataCenter: h.DataCenter, State: h.State}
	reply, err := gates.Exchange(ctx, h.GateAddress, emptyExchange())
	if err == nil {
		state.Answered = true
		state.Revision = reply.GetRevision()
		state.State = reply.GetSender().GetState()
	}
	return state
}

func publishError(err error) error {
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
