package process

import (
	"bytes"
	"context"
	"errors"
	"log"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	// endingEnv names the end of the process that the test binary runs as, linesEnv is how many lines
	// it logs before.
	endingEnv = "FOXTAILSHELF_TEST_ENDING"
	linesEnv  = "FOXTAILSHELF_TEST_LINES"
	// unreadLines are more than a pipe holds.
	readLines, unreadLines = 50, 1000
)

// TestMain runs the test binary as a process with one task if endingEnv is set.
func TestMain(m *testing.M) {
	ending := os.Getenv(endingEnv)
	if ending == "" {
		os.Exit(m.Run())
	}
	p := &Process{Name: "ending", Host: "h", LogLevel: "info", OperationsAddress: "127.0.0.1:0"}
	if err := p.Init(); err != nil {
		panic(err)
	}
	lineCount, err := strconv.Atoi(os.Getenv(linesEnv))
	if err != nil {
		panic(err)
	}
	err = p.Run(func(context.Context) error {
		for i := range lineCount {
			if ending == "library" {
				log.Printf("library %d %s", i, strings.Repeat("x", 200))
				continue
			}
			p.Log().WithField("filler", strings.Repeat("x", 200)).Infof("line %d", i)
		}
		switch ending {
		case "panic":
			panic("task")
		case "fatal":
			p.Log().Fatal("last line")
		}
		return errors.New("task has failed")
	})
	if err != nil {
		os.Exit(1)
	}
}

func endingCommand(ending string, lines int) *exec.Cmd {
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), endingEnv+"="+ending, linesEnv+"="+strconv.Itoa(lines))
	return command
}

// TestLastLinesOfAFailedProcessAreWritten guards against a process that fails and takes the lines along that say why.
func TestLastLinesOfAFailedProcessAreWritten(t *testing.T) {
	for _, ending := range []string{"error", "panic", "fatal"} {
		t.Run(ending, func(t *testing.T) {
			c := qt.New(t)
			var out bytes.Buffer
			command := endingCommand(ending, readLines)
			command.Stdout = &out
			var exit *exec.ExitError
			c.Assert(errors.As(command.Run(), &exit), qt.IsTrue)
			c.Check(exit.ExitCode() > 0, qt.IsTrue)
			c.Check(strings.Count(out.String(), `"msg":"line `), qt.Equals, readLines)
			c.Check(strings.Contains(out.String(), `"msg":"last line"`), qt.Equals, ending == "fatal")
			c.Check(strings.HasSuffix(out.String(), "}\n"), qt.IsTrue)
		})
	}
}

// TestFailedProcessEndsWithUnreadOutput guards against a process that has failed and waits for a pipe that nobody reads,
// be it for its last lines or for the trace of a panic.
func TestFailedProcessEndsWithUnreadOutput(t *testing.T) {
	for _, ending := range []string{"error", "panic", "fatal"} {
		t.Run(ending, func(t *testing.T) {
			c := qt.New(t)
			reader, writer, err := os.Pipe()
			c.Assert(err, qt.IsNil)
			defer reader.Close()
			defer writer.Close()
			command := endingCommand(ending, unreadLines)
			command.Stdout, command.Stderr = writer, writer
			c.Assert(command.Start(), qt.IsNil)
			kill := time.AfterFunc(10*time.Second, func() { _ = command.Process.Kill() })
			var exit *exec.ExitError
			c.Assert(errors.As(command.Wait(), &exit), qt.IsTrue)
			c.Check(kill.Stop(), qt.IsTrue)
			c.Check(exit.ExitCode() > 0, qt.IsTrue)
		})
	}
}

// TestProcessOutlivesItsLogReader guards against a process that the signal of a closed pipe ends.
func TestProcessOutlivesItsLogReader(t *testing.T) {
	c := qt.New(t)
	reader, writer, err := os.Pipe()
	c.Assert(err, qt.IsNil)
	defer writer.Close()
	c.Assert(reader.Close(), qt.IsNil)
	command := endingCommand("error", readLines)
	command.Stdout = writer
	var exit *exec.ExitError
	c.Assert(errors.As(command.Run(), &exit), qt.IsTrue)
	// The exit code is -1 after a signal.
	c.Check(exit.ExitCode(), qt.Equals, 1)
}

// TestLibrariesLogWithoutWaiting guards against goroutines of libraries, such as those that accept connections, that
// wait for a standard error that nobody reads.
func TestLibrariesLogWithoutWaiting(t *testing.T) {
	c := qt.New(t)
	reader, writer, err := os.Pipe()
	c.Assert(err, qt.IsNil)
	defer reader.Close()
	defer writer.Close()
	var out bytes.Buffer
	command := endingCommand("library", unreadLines)
	command.Stdout, command.Stderr = &out, writer
	c.Assert(command.Start(), qt.IsNil)
	kill := time.AfterFunc(10*time.Second, func() { _ = command.Process.Kill() })
	var exit *exec.ExitError
	c.Assert(errors.As(command.Wait(), &exit), qt.IsTrue)
	c.Check(kill.Stop(), qt.IsTrue)
	c.Check(out.String(), qt.Matches, `(?s).*"error":"library 0 x+","host":"h","level":"warning",.*`)
}
