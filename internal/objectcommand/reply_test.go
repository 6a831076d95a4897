package objectcommand

import (
	"testing"

	"chalkstand/dispatch"
	"chalkstand/internal/resp"
)

// replyCase holds a node's reply and the expected results of ParseReply.
type replyCase struct {
	text       string
	ok         bool
	result     dispatch.AttemptResult
	quotaUsage float64 // one more than the value on the wire; 0 if the reply holds no valid value
	peerUnits  float64
	inflight   float64 // value of "inflight" in the load report
}

// TestParseReply parses the example replies of the protocol's documentation.
func TestParseReply(t *testing.T) {
	for name, c := range map[string]replyCase{
		"usage and a report without values": {
			"*3\r\n$1\r\nv\r\n$14\r\nused=37,cost=4\r\n$12\r\nrif=7,lat_ms\r\n", true, dispatch.OK, 38, 4, 0,
		},
		"usage and report": {
			"*3\r\n$1\r\nv\r\n$6\r\nused=0\r\n$14\r\nrif=7,lat_ms=3\r\n", true, dispatch.OK, 1, 0, 7,
		},
		"null":          {"*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n", true, dispatch.OK, 0, 0, 0},
		"invalid usage": {"*3\r\n$1\r\nv\r\n$13\r\nused=-1,cost=\r\n$-1\r\n", true, dispatch.OK, 0, 0, 0},
		"error with usage and report": {
			"-ERR failed used=9,cost=2 inflight=5,queue=0\r\n", true, dispatch.ServerError, 10, 2, 5,
		},
		"error with report": {"-ERR failed inflight=5,queue=0\r\n", true, dispatch.ServerError, 0, 0, 5},
		"busy":              {"-BUSY\r\n", true, dispatch.Rejected, 0, 0, 0},
		"syntax error":      {"-SYNTAX\r\n", true, dispatch.ServerError, 0, 0, 0},
		"null value":        {"*3\r\n$-1\r\n$-1\r\n$-1\r\n", false, 0, 0, 0, 0},
		"two items":         {"*2\r\n$1\r\nv\r\n$-1\r\n", false, 0, 0, 0, 0},
		"bulk string":       {"$1\r\nv\r\n", false, 0, 0, 0, 0},
		"simple string":     {"+OK\r\n", false, 0, 0, 0, 0},
	} {
		t.Run(name, func(t *testing.T) { c.check(t) })
	}
}

func (c replyCase) check(t *testing.T) {
	t.Helper()
	var reply resp.Reply
	if n, err := reply.Read([]byte(c.text)); n != len(c.text) || err != nil {
		t.Fatalf("reading the reply %q: got an incomplete reply or error %v", c.text, err)
	}
	value, info, ok := ParseReply(&reply)
	if ok != c.ok {
		t.Fatalf("reply %q: got %+v and ok %v", c.text, info, ok)
	}
	if !ok {
		return
	}
	if info.Result != c.result || info.QuotaUsage != c.quotaUsage || info.PeerUnits != c.peerUnits ||
		info.LoadReport["inflight"] != c.inflight {
		t.Errorf("reply %q: got %+v, which differs from the expected results", c.text, info)
	}
	if c.result == dispatch.OK && string(value) != "v" {
		t.Errorf("reply %q: got value %q, want \"v\"", c.text, value)
	}
}

// FuzzParseReply checks that ParseReply ignores invalid usage values in any reply of a node.
func FuzzParseReply(f *testing.F) {
	for _, text := range []string{
		"*3\r\n$1\r\nv\r\n$14\r\nused=37,cost=4\r\n$12\r\nrif=7,lat_ms\r\n",
		"-ERR failed used=9,cost=2 inflight=5,queue=0\r\n",
		"-BUSY\r\n",
		"-ERR used=-1e999,cost=NaN\r\n",
		"*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n",
		"*-1\r\n",
		"$3000000000\r\n",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		var reply resp.Reply
		n, err := reply.Read(text)
		if n == 0 || err != nil {
			return
		}
		value, info, ok := ParseReply(&reply)
		validQuota := info.QuotaUsage == 0 || info.QuotaUsage >= 1 && info.QuotaUsage <= maxUsage+1
		validUnits := info.PeerUnits >= 0 && info.PeerUnits <= maxUsage
		if !validQuota || !validUnits {
			t.Errorf("reply %q: an invalid usage was not ignored: %+v", text, info)
		}
		succeeded := ok && info.Result == dispatch.OK
		if succeeded && value == nil && len(reply.Items) == 0 {
			t.Errorf("reply %q: the result is OK, but there is no value", text)
		}
	})
}
