// Command foxtail-gate is described by its --help.
package main

import (
	"os"

	"github.com/foxtailshelf/foxtailshelf/internal/command"
)

func main() {
	os.Exit(command.GateMain(os.Args[1:]))
}
