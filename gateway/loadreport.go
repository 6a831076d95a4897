package gateway

import (
	"bytes"
	"net/http"
	"strconv"

	"chalkstand/dispatch"
	"chalkstand/forwarder"
	"chalkstand/internal/objectapi"
)

// loadHeader is the name of the header that carries a node's load report, in the text format of Open
// Request Cost Aggregation (ORCA).
const loadHeader = "endpoint-load-metrics"

// maxMetricValue is the largest value that the gateway accepts for a metric of a load report.
const maxMetricValue = 1e12

// responseInfo returns the data that the forwarder needs about the response on the connection: its
// result, its cost, and the node's load report and timing.
func (n *nodeConn) responseInfo() forwarder.ResponseInfo {
	resp := &n.reader.Response
	info := forwarder.ResponseInfo{Result: resultOfStatus(resp.Status)}
	sizeKnown := !resp.Chunked && !resp.UntilClose
	if info.Result == dispatch.OK && n.request != nil && n.request.sizeUnknown && sizeKnown {
		info.Units = n.worker.gateway.costs.Cost(objectapi.GetObject, resp.Length).Units
	}
	if v := resp.Headers.Get(loadHeader); v != nil {
		readLoadReport(v, n.request, &info)
	}
	info.QueueTime, info.ServiceTime, info.HasTiming = readTiming(resp.Headers)
	return info
}

// resultOfStatus classifies a node's response by its HTTP status.
func resultOfStatus(status int) dispatch.AttemptResult {
	switch {
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		return dispatch.Rejected
	case status >= 500 && status != http.StatusNotImplemented:
		return dispatch.ServerError
	}
	return dispatch.OK
}

// readLoadReport parses a load report of the form "TEXT name=value, …" and stores its metrics in info.
// It ignores unknown names and malformed values.
func readLoadReport(v []byte, r *nodeRequest, info *forwarder.ResponseInfo) {
	rest, ok := bytes.CutPrefix(v, []byte("TEXT "))
	if !ok {
		return
	}
	for len(rest) > 0 {
		var item []byte
		item, rest, _ = bytes.Cut(rest, []byte(","))
		name, val, _ := bytes.Cut(bytes.TrimSpace(item), []byte("="))
		x, err := strconv.ParseFloat(string(val), 64)
		if err != nil || !(x >= 0) || x > maxMetricValue {
			continue
		}
		switch string(name) {
		case "named_metrics.inflight":
			info.LoadReport = dispatch.LoadReport{"inflight": x}
		case "named_metrics.volume_rate":
			if r != nil && r.volumeRate > 0 {
				info.QuotaUsage = 1 + 100*x/r.volumeRate
			}
		case "named_metrics.volume_elsewhere":
			info.PeerUnits = x
		}
	}
}
