package command

import (
	"errors"
	"flag"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/foxtailshelf/foxtailshelf/internal/host"
)

const (
	// Ports are reserved in blocks below the range from which the system assigns
	// client ports. A test process takes a block only if it can listen on the first
	// port, so that it does not use the block of a process that listens there.
	firstPort = 15000
	lastPort  = 31000
	blockSize = 400
)

var (
	usedPorts atomic.Int32
	portBlock = sync.OnceValues(reservePortBlock)
)

var update = flag.Bool("update-scripts", false, "update the expected output in the scripts")

func TestMain(m *testing.M) {
	program := func(run func([]string) int) func() {
		return func() { os.Exit(run(os.Args[1:])) }
	}
	testscript.Main(m, map[string]func(){
		"foxtail-entry": program(EntryMain), "foxtail-gate": program(GateMain), "foxtail-standin": program(StandinMain), "foxtailctl": program(ControlMain),
		"foxtail-host": program(func(arguments []string) int {
			return HostMain(os.Stdout, "foxtail-host", "", arguments, nil, func(string, host.Settings) error { return nil })
		}),
	})
}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:           "testdata/script",
		UpdateScripts: *update,
		Setup: func(env *testscript.Env) error {
			for _, name := range []string{"STORE", "HOSTS", "OPERATIONS", "GATE", "GATE_OPERATIONS", "ENTRY", "UPSTREAM_A", "UPSTREAM_B"} {
				env.Setenv(name, freeAddress(t))
			}
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"expand": expandFiles, "await": awaitListener, "exits": checkExitCode,
		},
	})
}

// expandFiles expands environment variables in files of the script.
func expandFiles(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		path := ts.MkAbs(name)
		text := os.Expand(ts.ReadFile(name), ts.Getenv)
		ts.Check(os.WriteFile(path, []byte(text), 0o600))
	}
}

// awaitListener waits until connections to an address succeed.
func awaitListener(ts *testscript.TestScript, _ bool, args []string) {
	for range 100 {
		conn, err := net.DialTimeout("tcp", args[0], time.Second)
		if err == nil {
			_ = conn.Close()
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	ts.Fatalf("nothing listens on %s", args[0])
}

// checkExitCode runs a command and compares its exit code with the first argument.
func checkExitCode(ts *testscript.TestScript, _ bool, args []string) {
	err := ts.Exec(args[1], args[2:]...)
	got := 0
	if err != nil {
		got = exitCode(err)
	}
	if fmt.Sprint(got) != args[0] {
		ts.Fatalf("exit code %d, want %s", got, args[0])
	}
}

func exitCode(err error) int {
	if coded, ok := err.(interface{ ExitCode() int }); ok {
		return coded.ExitCode()
	}
	return -1
}

// freeAddress returns a loopback address that no other test uses and on which nothing
// listens.
func freeAddress(t *testing.T) string {
	first, err := portBlock()
	if err != nil {
		t.Fatal(err)
	}
	for n := int(usedPorts.Add(1)); n < blockSize; n = int(usedPorts.Add(1)) {
		address := fmt.Sprintf("127.0.0.1:%d", first+n)
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = listener.Close()
		return address
	}
	t.Fatal("no port is free in the block")
	return ""
}

// reservePortBlock returns the first port of the first block, from a block chosen by
// the process id on, on whose first port it can listen. It does not close the listener
// and keeps no reference to it.
func reservePortBlock() (int, error) {
	blocks := (lastPort - firstPort) / blockSize
	for i := range blocks {
		first := firstPort + (os.Getpid()+i)%blocks*blockSize
		if _, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", first)); err == nil {
			return first, nil
		}
	}
	return 0, errors.New("all port blocks are in use")
}

// programPath returns the path of a symbolic link to the test binary. Under the link's
// name, the test binary runs as that program.
func programPath(t *testing.T, dir, name string) string {
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(dir, name)
	if err := os.Symlink(self, path); err != nil && !strings.Contains(err.Error(), "exists") {
		t.Fatal(err)
	}
	return path
}
