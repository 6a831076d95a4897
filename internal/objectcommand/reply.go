package objectcommand

import (
	"strings"

	"chalkstand/dispatch"
	"chalkstand/forwarder"
	"chalkstand/internal/resp"
	"chalkstand/internal/simwire"
)

// replyItems is the number of items of a reply that has a value: the value, the usage and the load
// report.
const replyItems = 3

// maxUsage is the largest usage that is taken for valid.
const maxUsage = 1e9

// ParseReply parses a node's reply to an object command. value is what the client gets if the result
// is OK; it is a part of the reply. ok is false if the reply is none to an object command: the request
// may have been executed, and the connection can't be used again.
func ParseReply(reply *resp.Reply) (value []byte, info forwarder.ResponseInfo, ok bool) {
	switch reply.Kind {
	case resp.ErrorReply:
		return nil, parseError(string(reply.Text)), true
	case resp.Array:
		if len(reply.Items) != replyItems || reply.Items[0].Null {
			return nil, info, false
		}
		info.Result = dispatch.OK
		parseUsage(&info, string(reply.Items[1].Text))
		info.LoadReport = simwire.ParseLoadReport(string(reply.Items[2].Text), "=")
		return reply.Items[0].Text, info, true
	}
	return nil, info, false
}

// parseError parses the line of an error. Only a request that the node rejected is known not to have
// been executed.
func parseError(text string) forwarder.ResponseInfo {
	code, rest, _ := strings.Cut(text, " ")
	if code == "BUSY" {
		return forwarder.ResponseInfo{Result: dispatch.Rejected}
	}
	info := forwarder.ResponseInfo{Result: dispatch.ServerError}
	for part := range strings.FieldsSeq(rest) {
		switch {
		case strings.Contains(part, "used="), strings.Contains(part, "cost="):
			parseUsage(&info, part)
		case strings.Contains(part, "="):
			info.LoadReport = simwire.ParseLoadReport(part, "=")
		}
	}
	return info
}

// parseUsage parses the usage of a volume's plan. Invalid values are ignored; the reply is valid in any
// case. QuotaUsage is one more than the value on the wire.
func parseUsage(info *forwarder.ResponseInfo, list string) {
	for pair := range strings.SplitSeq(list, ",") {
		name, text, _ := strings.Cut(pair, "=")
		value, ok := simwire.ParseFinite(text)
		if !ok || value < 0 || value > maxUsage {
			continue
		}
		switch name {
		case "used":
			info.QuotaUsage = value + 1
		case "cost":
			info.PeerUnits = value
		}
	}
}
