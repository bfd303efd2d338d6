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

// printTimeline prints the events of several processes, merged in order of time.
func (c *control) printTimeline(ctx context.Context) error {
	events, err := c.fetchAllEvents(ctx)
	if c.eventKind != "" {
		events = slices.DeleteFunc(events, func(e timeline.Event) bool { return e.Kind != c.eventKind })
	}
	for _, e := range events {
		c.printEvent(e)
	}
	return err
}

// explainRequest prints the events of one request and a summary.
func (c *control) explainRequest(ctx context.Context) error {
	events, err := c.fetchAllEvents(ctx)
	if len(events) == 0 {
		return errors.Join(err, fmt.Errorf("no process has events of request %q", c.requestID))
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

// fetchRequestStates returns one state for each request and each entry that admitted
// the request, in the order of the first admissions. It reads the events of the
// processes at c.operationsAddresses.
func (c *control) fetchRequestStates(ctx context.Context) ([]operator.RequestState, error) {
	events, err := c.fetchAllEvents(ctx)
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

// fetchAllEvents returns the merged events of all processes at
// c.operationsAddresses. If c.requestID is set, these are only the events of that
// request. If some processes do not answer, it returns an error as well as the
// events of the other processes.
func (c *control) fetchAllEvents(ctx context.Context) ([]timeline.Event, error) {
	if c.operationsAddresses == "" {
		return nil, &ExitError{Code: ExitUsage, Err: errors.New("--operations must be given")}
	}
	var parts [][]timeline.Event
	var errs []error
	for address := range strings.SplitSeq(c.operationsAddresses, ",") {
		part, err := fetchEvents(ctx, address, c.requestID)
		errs = append(errs, err)
		parts = append(parts, part)
	}
	return timeline.Merge(parts...), errors.Join(errs...)
}

func (c *control) printEvent(e timeline.Event) {
	at := time.UnixMicro(e.Stamp.Micros).UTC().Format("15:04:05.000000")
	_, _ = fmt.Fprintf(c.out, "%s.%d\t%s/%s\t%s\t%s\t%s\n", at, e.Stamp.Count, e.Host, e.Process, e.Kind, e.Request, e.Detail)
}

// fetchSettings returns the settings of all processes at c.operationsAddresses. If
// some processes do not answer, it returns an error as well as the settings of the
// other processes.
func (c *control) fetchSettings(ctx context.Context) ([]operator.ProcessSetting, error) {
	if c.operationsAddresses == "" {
		return nil, &ExitError{Code: ExitUsage, Err: errors.New("--operations must be given")}
	}
	var states []operator.ProcessSetting
	var errs []error
	for address := range strings.SplitSeq(c.operationsAddresses, ",") {
		var settings map[string]any
		errs = append(errs, fetchJSON(ctx, "http://"+address+"/v1/settings", &settings))
		for _, name := range slices.Sorted(maps.Keys(settings)) {
			states = append(states, operator.ProcessSetting{Process: address, Name: name, Value: fmt.Sprint(settings[name])})
		}
	}
	return states, errors.Join(errs...)
}

func fetchEvents(ctx context.Context, address, request string) ([]timeline.Event, error) {
	var events []timeline.Event
	err := fetchJSON(ctx, "http://"+address+"/v1/events?request="+url.QueryEscape(request), &events)
	return events, err
}

// fetchJSON requests a URL and decodes the JSON document of the response.
func fetchJSON(ctx context.Context, target string, out any) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return fmt.Errorf("build request: %w", err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fmt.Errorf("fetch state: %w", err)
	}
	defer response.Body.Close()
	if err := json.NewDecoder(response.Body).Decode(out); err != nil {
		return fmt.Errorf("decode %s: %w", target, err)
	}
	return nil
}
