package simwire

import (
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"chalkstand/dispatch"
)

const settingsPairs = "peers_total=2 me=1 classes.count=1 classes.0.slo_ms=300.0 classes.0.deadline_ms=1500.0 " +
	"classes.0.effect=deduplicated classes.0.group=zone classes.0.window_ms=4000.0 classes.0.in_turn=true " +
	"policies.count=1 policies.0.weight=2.0 policies.0.limit=22.0 policies.0.limit_burst=48.0 policies.0.cap_slack=8.0 " +
	"discovery=on_request family_info.class_writes=true rules.resend_span_ms=5000.0 rules.settle_after_doubt_ms=40.0 " +
	"an.unknown.key=whatever"

// decode returns the first batch of a text.
func decode(t *testing.T, text string) (Batch, error) {
	t.Helper()
	return NewDecoder(strings.NewReader(text)).Batch()
}

func TestDecode(t *testing.T) {
	b, err := decode(t, "BEGIN_BATCH 8412.25\nFOR dispatcher_3\nBEGIN 51 "+settingsPairs+"\n"+
		"PAGE 0 2\nITEM 10.0.0.7:8003 0 1 5 SERVING 1 -\nITEM 10.0.0.8:8044 0 0 2 DRAINING 1.5 6100.0\n"+
		"FLEET 41 Persisted 0\n"+
		"ASK 4068207471792580 3 0 6 2 0 ext-k 240.0 c:vol 0\nASK 7 1 0 0 8 0 - 240.5 c:vol -1\n"+
		"ATTEMPT_END 7 1 10.0.0.7:8003 86 delivered 0 3 18.5 rif:7,lat_ms:14.5\n"+
		"TIMEOUT_FIRED sweep\nABANDONED 7\nDATAGRAM 0 aGkgNw==\nCRASH_NOW\nGO\n")
	if err != nil {
		t.Fatal(err)
	}
	if b.Now != 8412250*time.Microsecond || len(b.Items) != 9 {
		t.Fatalf("batch: got time %v and %d items, want 8.41225s and 9 items", b.Now, len(b.Items))
	}
	cfg := b.Items[0].Config
	if class := cfg.Classes[0]; b.Items[0].Seed != 51 || cfg.DispatcherIndex != 1 || cfg.DispatcherCount != 2 || !cfg.PollDiscovery || class.Idempotency != dispatch.Deduplicated ||
		class.DedupScope != dispatch.DedupPerZone || !class.Ordered || class.LatencyObjective != 300*time.Millisecond || cfg.Plans[0].RateLimit != 22 ||
		cfg.RetryBudget.Window != 5*time.Second || cfg.Quiescence != 40*time.Millisecond {
		t.Errorf("BEGIN: got config %+v, want the values of settingsPairs", cfg)
	}
	update := b.Items[1].Event.(dispatch.EndpointUpdate)
	if update.Kind != dispatch.Cached || len(update.Nodes) != 2 || update.Nodes[1].State != dispatch.Draining || update.Nodes[0].Kind != 1 ||
		update.Nodes[1].Started != 6100*time.Millisecond || update.Nodes[0].Shard != 5 {
		t.Errorf("FLEET: got %+v, want a cached update with the two nodes of the PAGE", update)
	}
	if request := b.Items[2].Event.(dispatch.Request); request.ID != 4068207471792580 || request.Dispatchers != 3 || request.Units != 2 ||
		request.Key != "ext-k" || request.Volume != "c:vol" || request.Shard != 0 || request.Timeout != 240*time.Millisecond {
		t.Errorf("first ASK: got %+v, want the values of its line", request)
	}
	if request := b.Items[3].Event.(dispatch.Request); request.Shard != dispatch.AnyShard || request.Key != "" || request.Units != 8 {
		t.Errorf("ASK with neither key nor placement: got %+v, want any shard, no key and 8 units", request)
	}
	if completed := b.Items[4].Event.(dispatch.AttemptCompleted); !completed.Responded || completed.QuotaUsage != 86 || completed.PeerUnits != 3 || completed.LoadReport["latency_ms"] != 14.5 {
		t.Errorf("ATTEMPT_END: got %+v, want the values of its line", completed)
	}
	if e := b.Items[7].Event; e != nil {
		t.Errorf("DATAGRAM: got event %+v, want nil because dispatchers do not use it", e)
	}
	if b.Items[8].Kind != InstanceCrashed {
		t.Errorf("CRASH_NOW: got kind %v, want InstanceCrashed", b.Items[8].Kind)
	}
}

func TestMalformed(t *testing.T) {
	for text, want := range map[string]string{
		"HELLO\n":                                                                    `line 1: expected BEGIN_BATCH, got "HELLO"`,
		"BEGIN_BATCH x\nGO\n":                                                        "line 1: BEGIN_BATCH: value 1 (clock_ms): expected a number",
		"BEGIN_BATCH NaN\nGO\n":                                                      "expected a number",
		"BEGIN_BATCH 1\n":                                                            "input ended inside a batch",
		"BEGIN_BATCH 1\nNOISE\nGO\n":                                                 `line 2: unknown event "NOISE"`,
		"BEGIN_BATCH 1\nABANDONED 7\nGO\n":                                           "line 2: ABANDONED before any FOR",
		"BEGIN_BATCH 1\nFOR d\nABANDONED -7\nGO\n":                                   "line 3: ABANDONED: value 1 (rid): expected a number below 2^52",
		"BEGIN_BATCH 1\nFOR d\nABANDONED\nGO\n":                                      "expected a value",
		"BEGIN_BATCH 1\nFOR d\nABANDONED 7 8\nGO\n":                                  "1 values expected, more follow",
		"BEGIN_BATCH 1\nFOR d\nFLEET 1 Complete 3\nGO\n":                             "no PAGE defined it",
		"BEGIN_BATCH 1\nFOR d\nFLEET 1 Weird 3\nGO\n":                                "expected a known word",
		"BEGIN_BATCH 1\nPAGE 0 2\nITEM a 0 0 0 SERVING 1 -\nGO\n":                    `line 4: PAGE: expected 2 ITEM lines, got "GO" after 1`,
		"BEGIN_BATCH 1\nFOR d\nBEGIN 1 classes.count=x\nGO\n":                        "classes.count: expected a number",
		"BEGIN_BATCH 1\nFOR d\nBEGIN 1 classes.count=1e9\nGO\n":                      "expected 0 to 1000",
		"BEGIN_BATCH 1\nFOR d\nDATAGRAM 0 %%\nGO\n":                                  "expected base64",
		"BEGIN_BATCH 1\nFOR d\nATTEMPT_END 7 1 s 0 delivered 0 0 1 rif=3\nGO\n":      "name:number pairs",
		"BEGIN_BATCH 1\nFOR d\nASK 1 1 0 0 x 0 k 1 v 0\nGO\n":                        "value 5 (quota_units): expected a number",
		"BEGIN_BATCH 1\nFOR d\nATTEMPT_END 7 maybe s 0 delivered 0 0 1\nGO\n":        "expected 0 or 1",
		"BEGIN_BATCH 1\nFOR d\nBEGIN 1 limits.cancel=perhaps\nGO\n":                  "expected true or false",
		"BEGIN_BATCH 1\nFOR d\nBEGIN 1 nonsense\nGO\n":                               "expected path=value",
		"BEGIN_BATCH 1\nFOR d\nBEGIN 1 classes.count=1 classes.0.effect=twice\nGO\n": "classes.0.effect: expected a known word",
		"BEGIN_BATCH 1\nFOR d\nATTEMPT_END 7 1 s 0 delivered 0 0 soon\nGO\n":         "value 8 (wait_time_ms): expected a number",
		"BEGIN_BATCH 1\nFOR d\nATTEMPT_END 7 1 s 0 vanished 0 0 1\nGO\n":             "value 5 (status): expected a known word",
		"BEGIN_BATCH 1\nPAGE 0 -1\nGO\n":                                             "expected 0 or more",
		"BEGIN_BATCH 1\nFOR d\nBEGIN one peers_total=1\nGO\n":                        "value 1 (random_seed): expected an integer",
		"BEGIN_BATCH 1\nFOR d\nSAMPLED s delivered\nGO\n":                            "value 3 (wait_time_ms): expected a value",
	} {
		_, err := decode(t, text)
		var protocol *ProtocolError
		if !errors.As(err, &protocol) || !strings.Contains(err.Error(), want) {
			t.Errorf("input %q: got error %v, want a ProtocolError with %q", text, err, want)
		}
	}
	if _, err := decode(t, ""); !errors.Is(err, io.EOF) {
		t.Errorf("empty input: got error %v, want EOF", err)
	}
}

// FuzzBatch checks that the decoder returns batches or an error for any input, and never
// panics or loops forever.
func FuzzBatch(f *testing.F) {
	f.Add("BEGIN_BATCH 8412.25\nGO\n")
	f.Add("BEGIN_BATCH 1\nFOR d\nBEGIN 51 " + settingsPairs + "\nPAGE 0 1\nITEM a 0 0 0 SERVING 1 -\nFLEET 41 Persisted 0\nGO\n")
	f.Add("BEGIN_BATCH 1\nFOR d\nASK 4 3 0 6 2 0 ext-k 240.0 c:vol 0\nATTEMPT_END 4 1 a 86 delivered 0 3 18.5 rif:7\nGO\n")
	f.Add("BEGIN_BATCH 1e300\nFOR d\nACK_FIRST 4 0 a 1\nSAMPLED a shed 1 -\nDATAGRAM 0 aGk=\nCRASH_NOW\nGO\n")
	f.Fuzz(func(t *testing.T, text string) {
		d := NewDecoder(strings.NewReader(text))
		for range strings.Count(text, "\n") + 2 {
			if _, err := d.Batch(); err != nil {
				return
			}
		}
		t.Error("the decoder returned more batches than the input has lines")
	})
}
