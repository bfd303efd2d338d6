// Command foxtail-standin is described by its --help.
package main

import (
	"os"

	"github.com/foxtailshelf/foxtailshelf/internal/command"
)

func main() {
	os.Exit(command.StandinMain(os.Args[1:]))
}
