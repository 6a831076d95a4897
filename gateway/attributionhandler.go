package gateway

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"chalkstand/attribution"
)

// defaultSince is the default value of the attribution handler's parameter since.
const defaultSince = 5 * time.Minute

// AttributionHandler returns a handler that serves latency attribution as JSON. It accepts GET requests
// with two optional parameters. The parameter since is the length of the period up to now, and its
// default is 5m. With slots=1 the response lists each slot of the period instead of their sum.
func (g *Gateway) AttributionHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		since, slots, err := parseAttributionQuery(r)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		doc := attribution.Document{Version: attribution.Version, Run: g.RunInfo()}
		covered := false
		maxSpan := time.Duration(0)
		err = g.Attribution(func(now time.Duration, collector *attribution.Collector) {
			doc.Now = now
			doc.Counts = collector.Counts()
			maxSpan = collector.Aggregator().MaxSpan()
			doc.Windows, covered = attributionWindows(collector, now, since, slots)
		})
		switch {
		case err != nil:
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
		case !covered:
			http.Error(w, fmt.Sprintf("since: at most %v is kept", maxSpan), http.StatusBadRequest)
		default:
			writeJSON(w, doc)
		}
	})
}

// attributionWindows returns the slots of a period, or their sum as one window. It returns false if the
// period starts before the oldest slot that the collector keeps.
func attributionWindows(collector *attribution.Collector, now, since time.Duration, slots bool) ([]attribution.Window, bool) {
	if slots {
		return collector.Aggregator().Slots(now, since)
	}
	sum, covered := collector.Aggregator().Window(now, since)
	if !covered {
		return nil, false
	}
	return []attribution.Window{sum}, true
}

// parseAttributionQuery parses the parameters of a request to the attribution handler.
func parseAttributionQuery(r *http.Request) (since time.Duration, slots bool, err error) {
	if r.Method != http.MethodGet {
		return 0, false, errors.New("want GET")
	}
	q := r.URL.Query()
	for name := range q {
		if name != "since" && name != "slots" {
			return 0, false, fmt.Errorf("%s: there is no such parameter; want since, slots", name)
		}
	}
	since = defaultSince
	if v := q.Get("since"); v != "" {
		if since, err = time.ParseDuration(v); err != nil || since <= 0 {
			return 0, false, fmt.Errorf("since: want a time above 0, such as 5m, not %q", v)
		}
	}
	if v := q.Get("slots"); v != "" {
		if slots, err = strconv.ParseBool(v); err != nil {
			return 0, false, fmt.Errorf("slots: want 1 or 0, not %q", v)
		}
	}
	return since, slots, nil
}
