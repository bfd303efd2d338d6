package command

import (
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/foxtailshelf/foxtailshelf/internal/account"
	"github.com/foxtailshelf/foxtailshelf/internal/routing"
)

// A ConfigurationReader reads configurations in the format in which operators write them.
type ConfigurationReader interface {
	// ReadConfiguration returns the table of a configuration, and the problems that only its
	// format shows. The error says why hosts would not use the configuration at all.
	ReadConfiguration(data []byte) (table *routing.Table, problems []string, err error)
}

// A configurationCheck prints the problems of a configuration and its changes to accounts.
type configurationCheck struct {
	path, againstPath string
	reader            ConfigurationReader
	out               io.Writer
}

// run returns an error with ExitUsage if a file can't be read, or the configuration has
// problems.
func (c configurationCheck) run() error {
	table, problems, err := c.read(c.path)
	if err != nil {
		return err
	}
	problems = append(problems, tableProblems(table)...)
	var before *routing.Table
	if c.againstPath != "" {
		if before, _, err = c.read(c.againstPath); err != nil {
			return err
		}
		if table.Version() <= before.Version() {
			problems = append(problems, fmt.Sprintf("version %d is not above version %d: hosts would ignore the configuration", table.Version(), before.Version()))
		}
	}
	if err := c.print(table, before, problems); err != nil {
		return fmt.Errorf("print result: %w", err)
	}
	if len(problems) > 0 {
		return &ExitError{Code: ExitUsage, Err: fmt.Errorf("%s: %s", c.path, count(len(problems), "problem"))}
	}
	return nil
}

func (c configurationCheck) read(path string) (*routing.Table, []string, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, &ExitError{Code: ExitUsage, Err: fmt.Errorf("read configuration: %w", err)}
	}
	table, problems, err := c.reader.ReadConfiguration(data)
	if err != nil {
		return nil, nil, &ExitError{Code: ExitUsage, Err: fmt.Errorf("%s: %w", path, err)}
	}
	return table, problems, nil
}

func (c configurationCheck) print(table, before *routing.Table, problems []string) error {
	var b strings.Builder
	fmt.Fprintf(&b, "%s: version %d, %s\n", c.path, table.Version(), count(table.Accounts().Len(), "account"))
	for _, p := range problems {
		fmt.Fprintf(&b, "problem: %s\n", p)
	}
	if before != nil {
		fmt.Fprintf(&b, "changes since %s, version %d:\n", c.againstPath, before.Version())
		writeAccountChanges(&b, before.Accounts(), table.Accounts())
	}
	_, err := io.WriteString(c.out, b.String())
	return err
}

// tableProblems returns the problems of a table: those of its accounts, then those of its routes.
func tableProblems(t *routing.Table) []string {
	var problems []string
	for _, p := range t.Accounts().Problems() {
		problems = append(problems, p.String())
	}
	for _, m := range t.UndeclaredServices() {
		problems = append(problems, fmt.Sprintf("route %q: service %q is not declared", m.Route, m.Service))
	}
	return problems
}

func writeAccountChanges(b *strings.Builder, before, after *account.Directory) {
	switch {
	case before == nil && after != nil:
		b.WriteString("callers need a key from this version on, except on public routes\n")
	case before != nil && after == nil:
		b.WriteString("callers need no key any more: there are no accounts\n")
	}
	changes := account.Compare(before, after)
	for _, c := range changes {
		fmt.Fprintf(b, "account %q: %s\n", c.Name(), describeChange(c))
	}
	if len(changes) == 0 {
		b.WriteString("no account has changed\n")
	}
}

// describeChange describes the change of an account.
func describeChange(c account.Change) string {
	before, after := c.Before(), c.After()
	switch {
	case before == nil:
		return fmt.Sprintf("added, rate %s, burst %s, priority %s, %s", describeRate(after), describeBurst(after), describePriority(after), count(c.AddedKeys(), "key"))
	case after == nil:
		return fmt.Sprintf("removed, with %s", count(c.RemovedKeys(), "key"))
	}
	var parts []string
	for _, p := range []struct {
		name          string
		before, after string
	}{
		{"rate", describeRate(before), describeRate(after)},
		{"burst", describeBurst(before), describeBurst(after)},
		{"priority", describePriority(before), describePriority(after)},
	} {
		if p.before != p.after {
			parts = append(parts, fmt.Sprintf("%s %s, was %s", p.name, p.after, p.before))
		}
	}
	if c.AddedKeys() > 0 {
		parts = append(parts, count(c.AddedKeys(), "key")+" added")
	}
	if c.RemovedKeys() > 0 {
		parts = append(parts, count(c.RemovedKeys(), "key")+" removed")
	}
	return strings.Join(parts, "; ")
}

func describeRate(a *account.Account) string {
	if a.Limit().IsUnlimited() {
		return "unlimited"
	}
	return fmt.Sprintf("%g/s", a.Limit().RatePerSecond)
}

func describeBurst(a *account.Account) string { return fmt.Sprintf("%g", a.Limit().Burst) }

func describePriority(a *account.Account) string {
	if !a.HasPriority() {
		return "of the route"
	}
	return fmt.Sprint(a.Priority(0))
}

// count returns a number with a noun.
func count(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", n, noun)
}
