package command

import (
	"flag"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

const (
	firstPort    = 15000
	maxPortTries = 5000
)

var portsUsed atomic.Int32

var update = flag.Bool("update-scripts", false, "write what commands print into the scripts")

func TestMain(m *testing.M) {
	program := func(run func([]string) int) func() {
		return func() { os.Exit(run(os.Args[1:])) }
	}
	testscript.Main(m, map[string]func(){
		"foxtail-entry": program(Entry), "foxtail-gate": program(Gate), "foxtail-standin": program(Standin), "foxtailctl": program(Control),
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
			"expand": expandFile, "await": await, "exits": exits,
		},
	})
}

// expandFile replaces the variables in a file of the script.
func expandFile(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		path := ts.MkAbs(name)
		text := os.Expand(ts.ReadFile(name), ts.Getenv)
		ts.Check(os.WriteFile(path, []byte(text), 0o600))
	}
}

// await waits until something listens on an address.
func await(ts *testscript.TestScript, _ bool, args []string) {
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

// exits runs a command and checks its exit code.
func exits(ts *testscript.TestScript, _ bool, args []string) {
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

// freeAddress returns an address below the ports that the system hands out to
// clients, and a different one each time.
func freeAddress(t *testing.T) string {
	for range maxPortTries {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+int(portsUsed.Add(1)))
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = listener.Close()
		return address
	}
	t.Fatal("no free port")
	return ""
}

// programPath returns a path under which the test binary runs as a program.
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
