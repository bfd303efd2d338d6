package command

import (
	"bufio"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"time"
)

// maxLogLineBytes is the maximum length of a log line. Reading a file with a longer
// line fails.
const maxLogLineBytes = 1 << 20

// A logLine is one line of a process's log in JSON.
type logLine struct {
	loggedAt time.Time
	fields   map[string]any
}

// explainLogs prints the log lines of one request from several files in order of
// time. It also prints how many lines could not be parsed. It returns an error if no
// file has a line of the request.
func explainLogs(w io.Writer, request string, paths []string) error {
	var lines []logLine
	unreadable := 0
	for _, p := range paths {
		found, failed, err := readLog(p, request)
		if err != nil {
			return err
		}
		lines = append(lines, found...)
		unreadable += failed
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.loggedAt.Compare(b.loggedAt) })
	for _, l := range lines {
		if _, err := fmt.Fprintln(w, l); err != nil {
			return fmt.Errorf("print line: %w", err)
		}
	}
	if unreadable > 0 {
		_, _ = fmt.Fprintf(w, "%d lines were no log lines\n", unreadable)
	}
	if len(lines) == 0 {
		return &ExitError{Code: ExitFailure, Err: fmt.Errorf("no line about request %q in %d files", request, len(paths))}
	}
	return nil
}

// readLog returns the lines of a file about a request, and how many lines could not
// be parsed.
func readLog(path, request string) (lines []logLine, unreadable int, err error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, 0, fmt.Errorf("read log: %w", err)
	}
	defer file.Close()
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, maxLogLineBytes)
	for scanner.Scan() {
		l, err := parseLogLine(scanner.Text())
		switch {
		case err != nil:
			unreadable++
		case l.fields["request"] == request:
			lines = append(lines, l)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, 0, fmt.Errorf("read log %s: %w", path, err)
	}
	return lines, unreadable, nil
}

// parseLogLine parses a line. Text before the JSON object is skipped.
func parseLogLine(text string) (logLine, error) {
	start := strings.IndexByte(text, '{')
	if start < 0 {
		return logLine{}, errors.New("no JSON object")
	}
	var l logLine
	if err := json.Unmarshal([]byte(text[start:]), &l.fields); err != nil {
		return logLine{}, fmt.Errorf("parse log line: %w", err)
	}
	at, ok := l.fields["time"].(string)
	if !ok {
		return logLine{}, errors.New("no time")
	}
	var err error
	if l.loggedAt, err = time.Parse(time.RFC3339Nano, at); err != nil {
		return logLine{}, fmt.Errorf("parse time: %w", err)
	}
	return l, nil
}

// String implements fmt.Stringer.
func (l logLine) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %v %v", l.loggedAt.Format("15:04:05.000"), l.fields["host"], l.fields["msg"])
	names := slices.SortedFunc(maps.Keys(l.fields), cmp.Compare)
	for _, n := range names {
		switch n {
		case "time", "host", "msg", "level", "process":
			continue
		}
		if v := l.fields[n]; v != nil && v != "" {
			fmt.Fprintf(&b, "\n  %s: %v", n, v)
		}
	}
	return b.String()
}
