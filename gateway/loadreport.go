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

// responseInfo turns a node's answer into what the forwarder hears of it.
func (k *nodeConn) responseInfo() forwarder.ResponseInfo {
	w := forwarder.ResponseInfo{Result: dispatch.OK}
	switch s := k.reader.Response.Status; {
	case s == 503 || s == 429:
		w.Result = dispatch.Rejected
	case s >= 500 && s != 501:
		w.Result = dispatch.ServerError
	}
	if r := &k.reader.Response; w.Result == dispatch.OK && k.request != nil && k.request.sizeUnknown && !r.Chunked && !r.UntilClose {
		w.Units = k.worker.gateway.costs.Of(objectapi.GetObject, r.Length).Units
	}
	if v := k.reader.Response.Headers.Get(loadHeader); v != nil {
		k.worker.readLoadReport(v, k.request, &w)
	}
	w.QueueTime, w.ServiceTime, w.HasTiming = readTiming(k.reader.Response.Headers)
	return w
}

// readLoadReport reads "TEXT name=value, …". Names that are not known are left out;
// a value that is no number is as good as absent.
func (l *loopWorker) readLoadReport(v []byte, c *nodeRequest, w *forwarder.ResponseInfo) {
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
			if c != nil && c.volumeRate > 0 {
				w.QuotaUsage = 1 + 100*x/c.volumeRate
			}
		case "named_metrics.volume_elsewhere":
			w.PeerUnits = x
		}
	}
}
