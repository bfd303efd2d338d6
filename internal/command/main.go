// Package command implements the command lines of all programs.
package command

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/integrii/flaggy"

	"github.com/foxtailshelf/foxtailshelf/internal/logqueue"
)

// lastErrorTimeout limits how long the end of a process waits for its standard error.
const lastErrorTimeout = 40 * time.Millisecond

// Version is the version of the program. The build sets it.
var Version = "development"

// The exit codes of all programs.
const (
	ExitOK = 0
	// ExitFailure is any failure without a specific code.
	ExitFailure = 1
	// ExitUsage means invalid arguments, settings or statements.
	ExitUsage = 2
	// ExitStale means that the catalog is not at the revision on which the change
	// is based, usually because another change was accepted meanwhile.
	ExitStale = 3
	// ExitUnsafe means that a change was refused because shards or services could
	// no longer answer after it.
	ExitUnsafe = 4
	// ExitUnconfirmed means that a change was accepted, but not confirmed as active
	// by every host.
	ExitUnconfirmed = 5
	// ExitUncertain means that it is unknown whether a change was accepted.
	ExitUncertain = 6
)

// An ExitError is an error with an exit code.
type ExitError struct {
	Code int
	Err  error
}

// Error implements error.
func (e *ExitError) Error() string { return e.Err.Error() }

// Unwrap returns the underlying error.
func (e *ExitError) Unwrap() error { return e.Err }

// settingsFlag is the only flag of the daemons.
type settingsFlag struct {
	path string
}

func newParser(name, description, help string) *flaggy.Parser {
	parser := flaggy.NewParser(name)
	parser.Description = description
	parser.AdditionalHelpAppend = help
	parser.Version = Version
	parser.ShowCompletion = false
	return parser
}

// reportError prints err unless it is nil, and returns the exit code.
func reportError(w io.Writer, program string, err error) int {
	if err == nil {
		return ExitOK
	}
	_, _ = fmt.Fprintf(w, "%s: %v\n", program, err)
	if e, ok := err.(*ExitError); ok {
		return e.Code
	}
	return ExitFailure
}

// reportEnd is reportError for a process that has run. It does not wait for a standard error that
// nobody reads.
func reportEnd(program string, err error) int {
	q := &logqueue.Queue{Output: os.Stderr, Notice: func(int) []byte { return nil }}
	defer q.Flush(lastErrorTimeout)
	return reportError(q, program, err)
}

// runDaemon parses the arguments of a daemon and runs it.
func runDaemon(name, description, help string, arguments []string, run func(settingsPath string) error) int {
	flags := settingsFlag{}
	parser := newParser(name, description, help)
	parser.String(&flags.path, "s", "settings", "Path of the settings file (JSON with comments).")
	if err := parser.ParseArgs(arguments); err != nil {
		return reportError(os.Stderr, name, &ExitError{Code: ExitUsage, Err: err})
	}
	if flags.path == "" {
		return reportError(os.Stderr, name, &ExitError{Code: ExitUsage, Err: fmt.Errorf("--settings must be given; see %s --help", name)})
	}
	return reportEnd(name, run(flags.path))
}
