// Command foxtail-entry admits, scatters and gathers callers' requests; see --help.
package main

import (
	"os"

	"github.com/foxtailshelf/foxtailshelf/internal/command"
)

func main() {
	os.Exit(command.EntryMain(os.Args[1:]))
}
