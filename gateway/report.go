package gateway

import (
	"bytes"
	"chalkstand/dispatch"
	"chalkstand/forwarder"
	"chalkstand/internal/objectapi"
	"strconv"
)

// loadHeader carries a node's load report, in the text form of the Open Request
// Cost Aggregation format.
const loadHeader = "endpoint-load-metrics"

// word turns a node's answer into what the forwarder hears of it.
func (k *nodeConn) word() forwarder.ResponseInfo {
	w := forwarder.ResponseInfo{Result: dispatch.OK}
	switch s := k.r.Response.Status; {
	case s == 503 || s == 429:
		w.Result = dispatch.Rejected
	case s >= 500 && s != 501:
		w.Result = dispatch.ServerError
	}
	if r := &k.r.Response; w.Result == dispatch.OK && k.call != nil && k.call.guess && !r.Chunked && !r.UntilClose {
		w.Units = k.lane.g.costs.Cost(objectapi.GetObject, r.Length).Units
	}
	if v := k.r.Response.Headers.Get(loadHeader); v != nil {
		k.lane.readReport(v, k.call, &w)
	}
	w.QueueTime, w.ServiceTime, w.HasTiming = ownTiming(k.r.Response.Headers)
	return w
}

// readReport reads "TEXT name=value, …". Names that are not known are left out;
// a value that is no number is as good as absent.
func (l *lane) readReport(v []byte, c *call, w *forwarder.ResponseInfo) {
	rest, ok := bytes.CutPrefix(v, []byte("TEXT "))
	if !ok {
		return
	}
	for len(rest) > 0 {
		var item []byte
		item, rest, _ = bytes.Cut(rest, []byte(","))
		name, val, _ := bytes.Cut(bytes.TrimSpace(item), []byte("="))
		x, err := strconv.ParseFloat(string(val), 64)
		if err != nil || !(x >= 0) || x > 1e12 {
			continue
		}
		switch string(name) {
		case "named_metrics.inflight":
			w.LoadReport = dispatch.LoadReport{"inflight": x}
		case "named_metrics.volume_rate":
			if c != nil && c.rate > 0 {
				w.QuotaUsage = 1 + 100*x/c.rate
			}
		case "named_metrics.volume_elsewhere":
			w.PeerUnits = x
		}
	}
}
