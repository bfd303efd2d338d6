// Package command holds the commands of all programs.
package command

import (
	"fmt"
	"io"
	"os"

	"github.com/integrii/flaggy"
)

// Version is set by the build.
var Version = "development"

// The exit codes of all programs.
const (
	ExitOK = 0
	// ExitFailure is any failure without a code of its own.
	ExitFailure = 1
	// ExitUsage is bad input: arguments, settings or statements.
	ExitUsage = 2
	// ExitStale means that somebody else changed the catalog meanwhile.
	ExitStale = 3
	// ExitUnsafe means that a change was refused because of what it would
	// leave unable to answer.
	ExitUnsafe = 4
	// ExitUnconfirmed means that a change was accepted, but not every host
	// confirmed that it is in force.
	ExitUnconfirmed = 5
	// ExitUncertain means that it is not known whether a change was accepted.
	ExitUncertain = 6
)

// An ExitError carries the exit code of a failure.
type ExitError struct {
	Code int
	Err  error
}

// Error implements error.
func (e *ExitError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *ExitError) Unwrap() error { return e.Err }

// settingsFlag is the one flag of the long-running programs.
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

// report prints a failure and returns the exit code.
func report(w io.Writer, program string, err error) int {
	if err == nil {
		return ExitOK
	}
	_, _ = fmt.Fprintf(w, "%s: %v\n", program, err)
	if e, ok := err.(*ExitError); ok {
		return e.Code
	}
	return ExitFailure
}

// runDaemon parses the arguments of a long-running program and runs it.
func runDaemon(name, description, help string, arguments []string, run func(settingsPath string) error) int {
	flags := settingsFlag{}
	parser := newParser(name, description, help)
	parser.String(&flags.path, "s", "settings", "Path of the settings file (JSON with comments).")
	if err := parser.ParseArgs(arguments); err != nil {
		return report(os.Stderr, name, &ExitError{Code: ExitUsage, Err: err})
	}
	if flags.path == "" {
		return report(os.Stderr, name, &ExitError{Code: ExitUsage, Err: fmt.Errorf("--settings must be given; see %s --help", name)})
	}
	return report(os.Stderr, name, run(flags.path))
}
