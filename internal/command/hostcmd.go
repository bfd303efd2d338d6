package command

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/integrii/flaggy"

	"github.com/foxtailshelf/foxtailshelf/internal/host"
	"github.com/foxtailshelf/foxtailshelf/internal/settings"
)

const hostHelp = `
Examples:
  foxtail-platform
  foxtail-platform --settings host.jsonc
  foxtail-platform check-settings --settings host.jsonc

Signals: SIGTERM stops gracefully, SIGHUP checks the settings file again.

Exit codes: 0 stopped gracefully or settings valid, 1 failed, 2 bad arguments or
settings.`

// HostMain runs the program of one host and returns its exit code. The path of the
// settings file is defaultSettingsPath unless the arguments contain another path.
func HostMain(out io.Writer, name, defaultSettingsPath string, arguments []string, run func(path string, s host.Settings) error) int {
	path := defaultSettingsPath
	parser := newParser(name, "Runs one host, which dispatches callers' requests to upstreams.", hostHelp)
	parser.String(&path, "s", "settings", "Path of the settings file (JSON with comments).")
	check := flaggy.NewSubcommand("check-settings")
	check.Description = "Read the settings file, print its errors and exit."
	parser.AttachSubcommand(check, 1)
	if err := parser.ParseArgs(arguments); err != nil {
		return reportError(os.Stderr, name, &ExitError{Code: ExitUsage, Err: err})
	}
	if path == "" {
		return reportError(os.Stderr, name, &ExitError{Code: ExitUsage, Err: errors.New("no settings file is named; see --help")})
	}
	var s host.Settings
	if err := settings.Load(path, &s); err != nil {
		return reportError(os.Stderr, name, &ExitError{Code: ExitUsage, Err: err})
	}
	if check.Used {
		_, err := fmt.Fprintf(out, "%s: settings of host %s are fine\n", path, s.Host)
		return reportError(os.Stderr, name, err)
	}
	return reportError(os.Stderr, name, run(path, s))
}
