package gateway

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"chalkstand/attribution"
)

// defaultSince is the default period of the attribution handler.
const defaultSince = 5 * time.Minute

// AttributionHandler serves latency attribution as JSON: GET with the parameters since (a duration
// such as 5m, the default) and slots (1 for each slot by itself instead of their sum).
func (g *Gateway) AttributionHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		since, slots, err := parseAttributionQuery(r)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		doc := attribution.Document{Version: attribution.Version, Run: g.Run()}
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

// attributionWindows returns the slots of a period, or their sum as one window; false if the period
// reaches beyond what is kept.
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
