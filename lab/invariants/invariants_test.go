package invariants

import (
	"chalkstand/fake/storagenode"
	"fmt"
	"strings"
	"testing"
	"time"
)

const ms = time.Millisecond

func figures() Parameters {
	return Parameters{
		Grace: 250 * ms, Settle: 100 * ms, BudgetFree: 1, BudgetRatio: 0.5, BudgetSpan: time.Second,
		Limits: map[string]Limit{"v": {Rate: 10, Store: 2}}, Slop: 10 * ms, Late: 20 * ms,
		Classes: []Class{{Deadline: time.Second}, {Deadline: time.Second, Effect: Keyed, InTurn: true}, {Deadline: time.Second, Effect: Unsafe}},
	}
}

func ok(tag string, class int, sent, ended time.Duration) Request {
	return Request{Tag: tag, Gateway: "g", Class: class, Sent: sent, Ended: ended, Status: 200, Answers: 1}
}

func entry(tag string, id uint64, attempt int, at, end time.Duration) storagenode.LogEntry {
	return storagenode.LogEntry{Node: "n", Gateway: "g", Request: id, Attempt: attempt, Tag: tag, Arrived: at, Ended: end, Status: 200, Ran: true, Units: 1}
}

// Each log breaks the rule that it is named for; its twin, a hair away, does not.
func TestEachRuleBreaksAndHolds(t *testing.T) {
	left := func(e storagenode.LogEntry, at time.Duration) storagenode.LogEntry { e.Left = at; return e }
	of := func(e storagenode.LogEntry, vol string) storagenode.LogEntry { e.Volume = vol; return e }
	idle := func(e storagenode.LogEntry) storagenode.LogEntry { e.Ran, e.Status = false, 503; return e }
	req := func(r Request, change func(*Request)) Request { change(&r); return r }
	for name, x := range map[string]struct {
		rule      string
		bad, good Log
	}{
		"no answer": {
			Lost,
			Log{Requests: []Request{req(ok("a", 0, 0, 2000*ms), func(r *Request) { r.Answers, r.Status = 0, 0 })}},
			Log{Requests: []Request{req(ok("a", 0, 0, 2000*ms), func(r *Request) { r.Answers, r.Status = 0, 0 })}, Killed: []Killed{{"g", 1900 * ms}}},
		},
		"two answers": {
			Lost,
			Log{Requests: []Request{req(ok("a", 0, 0, ms), func(r *Request) { r.Answers = 2 })}},
			Log{Requests: []Request{ok("a", 0, 0, ms)}},
		},
		"late answer": {
			Lost,
			Log{Requests: []Request{ok("a", 0, 0, 1021*ms)}},
			Log{Requests: []Request{ok("a", 0, 0, 1019*ms)}},
		},
		"refusal without a time": {
			Lost,
			Log{Requests: []Request{req(ok("a", 0, 0, ms), func(r *Request) { r.Status = 503 })}},
			Log{Requests: []Request{req(ok("a", 0, 0, ms), func(r *Request) { r.Status, r.After = 503, true })}},
		},
		"sent after the answer": {
			Lost,
			Log{Requests: []Request{ok("a", 0, 0, 20*ms)}, Entries: []storagenode.LogEntry{entry("a", 1, 0, 31*ms, 40*ms)}},
			Log{Requests: []Request{ok("a", 0, 0, 20*ms)}, Entries: []storagenode.LogEntry{entry("a", 1, 0, 10*ms, 19*ms)}},
		},
		"two attempts out": {
			TwoOut,
			Log{Entries: []storagenode.LogEntry{entry("a", 1, 0, 0, 100*ms), entry("a", 1, 1, 50*ms, 60*ms)}},
			Log{Entries: []storagenode.LogEntry{left(entry("a", 1, 0, 0, 100*ms), 50*ms), entry("a", 1, 1, 50*ms, 60*ms)}},
		},
		"keyed twice": {
			Effects,
			Log{Requests: []Request{ok("a", 1, 0, 90*ms)}, Entries: []storagenode.LogEntry{entry("a", 1, 0, 0, 10*ms), entry("a", 1, 1, 50*ms, 60*ms)}},
			Log{Requests: []Request{ok("a", 0, 0, 90*ms)}, Entries: []storagenode.LogEntry{entry("a", 1, 0, 0, 10*ms), entry("a", 1, 1, 50*ms, 60*ms)}},
		},
		"refused after it ran": {
			Effects,
			Log{Requests: []Request{req(ok("a", 2, 0, 90*ms), func(r *Request) { r.Status, r.After = 503, true })}, Entries: []storagenode.LogEntry{entry("a", 1, 0, 0, 10*ms)}},
			Log{Requests: []Request{req(ok("a", 2, 0, 90*ms), func(r *Request) { r.Status, r.After = 503, true })}, Entries: []storagenode.LogEntry{idle(entry("a", 1, 0, 0, 10*ms))}},
		},
		"after a drain": {
			Drains,
			Log{Told: []Told{{"g", "n", 0}}, Entries: []storagenode.LogEntry{entry("a", 1, 0, 261*ms, 270*ms)}},
			Log{Told: []Told{{"h", "n", 0}}, Entries: []storagenode.LogEntry{entry("a", 1, 0, 261*ms, 270*ms)}},
		},
		"fallen": {Cold, Log{Fallen: []string{"n"}}, Log{}},
		"out of turn": {
			Order,
			Log{Requests: []Request{ok("a", 1, 0, 100*ms), ok("b", 1, 0, 100*ms)}, Entries: []storagenode.LogEntry{entry("a", 1, 0, 0, 50*ms), entry("b", 2, 0, 30*ms, 60*ms)}},
			Log{Requests: []Request{ok("a", 1, 0, 100*ms), ok("b", 1, 0, 100*ms)}, Entries: []storagenode.LogEntry{entry("a", 1, 0, 0, 50*ms), entry("b", 2, 0, 50*ms, 60*ms)}},
		},
		"no rest": {
			Order,
			Log{Requests: []Request{ok("a", 1, 0, 30*ms), ok("b", 1, 0, 200*ms)}, Entries: []storagenode.LogEntry{left(entry("a", 1, 0, 0, 50*ms), 30*ms), entry("b", 2, 0, 60*ms, 70*ms)}},
			Log{Requests: []Request{ok("a", 1, 0, 30*ms), ok("b", 1, 0, 200*ms)}, Entries: []storagenode.LogEntry{left(entry("a", 1, 0, 0, 50*ms), 30*ms), entry("b", 2, 0, 131*ms, 140*ms)}},
		},
		"beyond the budget": {
			Budget,
			Log{Requests: []Request{ok("a", 0, 0, 50*ms)}, Entries: []storagenode.LogEntry{entry("a", 1, 1, 10*ms, 20*ms), entry("a", 1, 2, 30*ms, 40*ms)}},
			Log{Requests: []Request{ok("a", 0, 0, 50*ms), ok("b", 0, 0, 50*ms)}, Entries: []storagenode.LogEntry{entry("a", 1, 1, 10*ms, 20*ms), entry("a", 1, 2, 30*ms, 40*ms)}},
		},
		"beyond the limit": {
			Limits,
			Log{Entries: []storagenode.LogEntry{of(entry("a", 1, 0, 0, ms), "v"), of(entry("b", 2, 0, 0, ms), "v"), of(entry("c", 3, 0, 80*ms, 90*ms), "v")}},
			Log{Entries: []storagenode.LogEntry{of(entry("a", 1, 0, 0, ms), "v"), of(entry("b", 2, 0, 0, ms), "v"), of(entry("b", 2, 1, 20*ms, 30*ms), "v"), of(entry("c", 3, 0, 95*ms, 99*ms), "v")}},
		},
		"not as stored": {
			Content,
			Log{Requests: []Request{req(ok("a", 0, 0, ms), func(r *Request) { r.Wrong = "short" })}},
			Log{Requests: []Request{ok("a", 0, 0, ms)}},
		},
	} {
		for what, l := range map[string]*Log{"bad": &x.bad, "good": &x.good} {
			l.End = 5 * time.Second
			var got []string
			for _, b := range Check(figures(), l) {
				got = append(got, b.Rule)
			}
			if has := strings.Contains(fmt.Sprint(got), x.rule); has != (what == "bad") || what == "good" && len(got) > 0 {
				t.Errorf("%s, %s: breaches %v", name, what, got)
			}
		}
	}
}
