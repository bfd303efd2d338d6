package command

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/operator"
	"github.com/foxtailshelf/foxtailshelf/internal/timeline"
)

const fetchTimeout = 3 * time.Second

// timeline prints the events of several processes in one order.
func (c *control) timeline(ctx context.Context) error {
	events, err := c.fetchAll(ctx)
	if c.kind != "" {
		events = slices.DeleteFunc(events, func(e timeline.Event) bool { return e.Kind != c.kind })
	}
	for _, e := range events {
		c.printEvent(e)
	}
	return err
}

// explain prints the way of one request and sums it up.
func (c *control) explain(ctx context.Context) error {
	events, err := c.fetchAll(ctx)
	if len(events) == 0 {
		return errors.Join(err, fmt.Errorf("no process remembers request %q", c.request))
	}
	counts := make(map[string]int)
	var pinned, answered timeline.Event
	for _, e := range events {
		c.printEvent(e)
		counts[e.Kind]++
		switch e.Kind {
		case "pinned":
			pinned = e
		case "answered":
			answered = e
		}
	}
	_, _ = fmt.Fprintf(c.out, "\nsent %d times; pinned: %s\n", counts["admitted"], pinned.Detail)
	_, _ = fmt.Fprintf(c.out, "%d attempts on upstreams, %d shards ended, %d gates lost\n", counts["attempt"], counts["shard-done"], counts["gate-lost"])
	_, _ = fmt.Fprintf(c.out, "last answer by %s: %s\n", answered.Host, answered.Detail)
	return err
}

// requestStates returns the requests that the named processes remember, in the
// order in which they were first admitted.
func (c *control) requestStates(ctx context.Context) ([]operator.RequestState, error) {
	events, err := c.fetchAll(ctx)
	var states []operator.RequestState
	index := make(map[string]int)
	for _, e := range events {
		key := e.Request + " " + e.Host
		i, known := index[key]
		switch {
		case e.Kind == "admitted" && !known:
			index[key] = len(states)
			states = append(states, operator.RequestState{RequestID: e.Request, Entry: e.Host, AdmissionDetail: e.Detail})
		case e.Kind == "answered" && known:
			states[i].AnswerDetail = e.Detail
		}
	}
	return states, err
}

// fetchAll returns the events of all named processes; those that do not answer
// are reported, and the others still shown.
func (c *control) fetchAll(ctx context.Context) ([]timeline.Event, error) {
	if c.operations == "" {
		return nil, &ExitError{Code: ExitUsage, Err: errors.New("--operations must be given")}
	}
	var parts [][]timeline.Event
	var faults []error
	for address := range strings.SplitSeq(c.operations, ",") {
		part, err := fetchEvents(ctx, address, c.request)
		faults = append(faults, err)
		parts = append(parts, part)
	}
	return timeline.Merge(parts...), errors.Join(faults...)
}

func (c *control) printEvent(e timeline.Event) {
	at := time.UnixMicro(e.Stamp.Micros).UTC().Format("15:04:05.000000")
	_, _ = fmt.Fprintf(c.out, "%s.%d\t%s/%s\t%s\t%s\t%s\n", at, e.Stamp.Count, e.Host, e.Process, e.Kind, e.Request, e.Detail)
}

// settingStates returns the settings of the named processes.
func (c *control) settingStates(ctx context.Context) ([]operator.ProcessSetting, error) {
	if c.operations == "" {
		return nil, &ExitError{Code: ExitUsage, Err: errors.New("--operations must be given")}
	}
	var states []operator.ProcessSetting
	var faults []error
	for address := range strings.SplitSeq(c.operations, ",") {
		var settings map[string]any
		faults = append(faults, fetch(ctx, "http://"+address+"/v1/settings", &settings))
		for _, name := range slices.Sorted(maps.Keys(settings)) {
			states = append(states, operator.ProcessSetting{Process: address, Name: name, Value: fmt.Sprint(settings[name])})
		}
	}
	return states, errors.Join(faults...)
}

func fetchEvents(ctx context.Context, address, request string) ([]timeline.Event, error) {
	var events []timeline.Event
	err := fetch(ctx, "http://"+address+"/v1/events?request="+url.QueryEscape(request), &events)
	return events, err
}

// fetch reads one JSON document.
func fetch(ctx context.Context, target string, out any) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	call, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return fmt.Errorf("build call: %w", err)
	}
	response, err := http.DefaultClient.Do(call)
	if err != nil {
		return fmt.Errorf("read state: %w", err)
	}
	defer response.Body.Close()
	if err := json.NewDecoder(response.Body).Decode(out); err != nil {
		return fmt.Errorf("decode %s: %w", target, err)
	}
	return nil
}
