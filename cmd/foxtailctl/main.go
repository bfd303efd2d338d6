// Command foxtailctl shows and changes the state of foxtailshelf; see --help.
package main

import (
	"os"

	"github.com/foxtailshelf/foxtailshelf/internal/command"
)

func main() {
	os.Exit(command.ControlMain(os.Args[1:]))
}
