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
  foxtail-platform check-configuration new.json --against active.json

Signals: SIGTERM stops gracefully, SIGHUP checks the settings file again.

Exit codes: 0 stopped gracefully, settings valid or configuration without problems,
1 failed, 2 bad arguments or settings, or problems in the configuration.`

// HostMain runs the program of one host and returns its exit code. The path of the
// settings file is defaultSettingsPath unless the arguments contain another path.
func HostMain(out io.Writer, name, defaultSettingsPath string, arguments []string, reader ConfigurationReader, run func(path string, s host.Settings) error) int {
	path := defaultSettingsPath
	parser := newParser(name, "Runs one host, which dispatches callers' requests to upstreams.", hostHelp)
	parser.String(&path, "s", "settings", "Path of the settings file (JSON with comments).")
	check := flaggy.NewSubcommand("check-settings")
	check.Description = "Read the settings file, print its errors and exit."
	parser.AttachSubcommand(check, 1)
	configuration := configurationCheck{reader: reader, out: out}
	checkConfiguration := flaggy.NewSubcommand("check-configuration")
	checkConfiguration.Description = "Read a configuration, print its problems and exit."
	checkConfiguration.AddPositionalValue(&configuration.path, "file", 1, true, "Path of the configuration, as it is written to the store.")
	checkConfiguration.String(&configuration.againstPath, "a", "against", "Path of an earlier configuration; print what changes for accounts.")
	parser.AttachSubcommand(checkConfiguration, 1)
	if err := parser.ParseArgs(arguments); err != nil {
		return reportError(os.Stderr, name, &ExitError{Code: ExitUsage, Err: err})
	}
	if checkConfiguration.Used {
		return reportError(os.Stderr, name, configuration.run())
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
	return reportEnd(name, run(path, s))
}
