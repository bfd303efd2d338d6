// Command foxtail-gate dispatches shard requests to the upstreams of the shards that
// its host owns; see --help.
package main

import (
	"os"

	"github.com/foxtailshelf/foxtailshelf/internal/command"
)

func main() {
	os.Exit(command.GateMain(os.Args[1:]))
}
