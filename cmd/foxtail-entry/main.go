// Command foxtail-entry is described by its --help.
package main

import (
	"os"

	"github.com/foxtailshelf/foxtailshelf/internal/command"
)

func main() {
	os.Exit(command.EntryMain(os.Args[1:]))
}
