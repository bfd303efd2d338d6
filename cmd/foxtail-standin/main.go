// Command foxtail-standin runs stand-ins for upstreams, the key-value service and the
// host list; see --help.
package main

import (
	"os"

	"github.com/foxtailshelf/foxtailshelf/internal/command"
)

func main() {
	os.Exit(command.StandinMain(os.Args[1:]))
}
