package objectcommand

import (
	"strings"

	"chalkstand/dispatch"
	"chalkstand/forwarder"
	"chalkstand/internal/resp"
	"chalkstand/internal/simwire"
)

// replyItems is the number of items in a reply to a successful command. The items are the value, the
// usage of the plan, and the node's load report.
const replyItems = 3

// maxUsage is the highest usage that parseUsage accepts as valid.
const maxUsage = 1e9

// ParseReply parses a node's reply to an object command. If the result is OK, value is the value for
// the client, which points into the reply. ok is false if the reply has a form that no reply to an
// object command has. In that case the node may have executed the request, and the caller must not
// use the connection again.
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

// parseError parses the text of an error reply. The result is Rejected for the code BUSY, with which
// a node says that it did not execute the request. For any other code the result is ServerError,
// because the node may have executed the request.
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

// parseUsage parses the usage of a volume's plan into info. It ignores invalid values, because they
// do not make the reply invalid. It sets info.QuotaUsage to one more than the value on the wire,
// because a QuotaUsage of 0 stands for an unknown usage.
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
