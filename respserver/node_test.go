package respserver_test

import (
	fakediscovery "chalkstand/fake/discovery"
	"chalkstand/fake/respnode"
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"
)

const secondCopy = "*3\r\n$3\r\nbad\r\n$-1\r\n$-1\r\n"

// endsWith has a node's answer read while a request is out there, in one piece, and expects that its
// connection ends with it, before anything else is decided.
func endsWith(t *testing.T, text, want string) {
	t.Helper()
	w := start(t, 256)
	w.node.SetDefault(respnode.Behavior{Hang: true})
	c := w.client()
	c.say(put("1", "body"))
	if err := w.node.Await(1, patience); err != nil {
		t.Fatal(err)
	}
	w.f.OnLoop(func() {
		w.f.Answer(text)
		if n := w.f.NodeConns(); n != 0 {
			t.Errorf("%d connections to nodes are left", n)
		}
	})
	c.expect(want)
}

// Each guard against what a node sends beside its answer alone. The first: what comes behind an answer
// in the same read ends the connection.
func TestBehindAnAnswerInTheSameRead(t *testing.T) {
	endsWith(t, "*3\r\n$4\r\ngood\r\n$-1\r\n$-1\r\n"+secondCopy, "$good")
}

// An error may be noise in the form of one: its connection ends with it.
func TestAnErrorEndsItsConnection(t *testing.T) { endsWith(t, "-ERR failed\r\n", "-ERR failed") }

// The second: what comes on a connection on which nothing is asked ends it.
func TestOnAnUnusedConnection(t *testing.T) {
	w := start(t, 256)
	c := w.client()
	c.say(get("1"))
	c.expect(answer("1"))
	w.onLoop(func() bool { return w.f.NodeConns() == 1 })
	w.node.WriteAll(secondCopy)
	w.onLoop(func() bool { return !w.f.HeardUnseen() })
	w.f.OnLoop(func() {
		if n := w.f.NodeConns(); n != 0 {
			t.Errorf("%d connections to nodes are left", n)
		}
	})
}

// The third: before a request is written the kernel is asked whether something has come that the loop
// has not read. It would be taken for the request's answer.
func TestUnreadOnAnUnusedConnection(t *testing.T) {
	w := start(t, 256)
	c := w.client()
	c.say(get("1"))
	c.expect(answer("1"))
	w.onLoop(func() bool { return w.f.NodeConns() == 1 })
	w.f.Advance(100 * time.Millisecond) // the connection has rested
	w.f.OnLoop(func() {
		w.node.WriteAll(secondCopy)
		w.until(w.f.HeardUnseen)
		w.f.Command(get("2"))
	})
	c.expect(answer("2"))
}

// Half a line, half a value or nothing and then an end is no answer: a read goes out again, what may
// have run and must not run twice does not. An answer that is whole counts, whatever ends its connection.
func TestEndsOfAnswers(t *testing.T) {
	for name, o := range map[string]respnode.Behavior{
		"half a line": {Reply: "*3\r\n$5", Close: true}, "half a value": {Reply: "*3\r\n$5\r\nab", Close: true},
		"a reset": {Close: true, Reset: true}, "a reset within": {Reply: "*3\r\n%v", Close: true, Reset: true},
	} {
		t.Run(name, func(t *testing.T) {
			w := start(t, 256)
			c := w.client()
			w.node.Next(o)
			c.say(get("1"))
			c.expect(answer("1"))
			w.node.Next(o)
			c.say(put("2", "body"))
			c.expect("-ERR")
			if seen, _ := w.node.Log(); len(seen) != 3 {
				t.Errorf("%d commands at the node, want 3", len(seen))
			}
		})
	}
	w := start(t, 256)
	c := w.client()
	w.node.Next(respnode.Behavior{Reply: "*3\r\n%v$-1\r\n$-1\r\n", Close: true})
	c.say(put("1", "body"))
	c.expect("$" + respnode.Value([]string{"", piece, "1"}))
}

// Ever new nodes, volumes, connections and requests leave nothing behind: tables are as large after
// many of them as after some.
func TestChurn(t *testing.T) {
	w := start(t, 256)
	w.until(func() bool { return w.disc.Send("") > 0 })
	version := 41
	churn := func(rounds int) {
		for range rounds {
			version++
			w.disc.Send(fakediscovery.Document(version, false,
				fakediscovery.Endpoint{ID: fmt.Sprintf("s%d", version), Addr: w.node.Addr(), State: "Ready", StartedMS: int64(version)},
				fakediscovery.Endpoint{ID: fmt.Sprintf("s%d", version-1), Addr: w.node.Addr(), State: "Gone"}))
			w.onLoop(func() bool { return w.f.Version() == int64(version) })
			c := w.dial() // a clean-up for each would be what grows
			for range 3 {
				id := w.id()
				volume := fmt.Sprintf("volume=%016x", w.ids)
				c.say(respnode.Command("OBJ.GET", piece, id, fields("volume", volume)))
				if got, err := respnode.ReadReply(c.in); err != nil || !strings.HasPrefix(got, "$") && !strings.HasPrefix(got, "-BUSY") {
					t.Fatalf("%q, %v", got, err)
				}
			}
			c.Close()
			w.f.Advance(time.Second) // volumes are forgotten after half a minute
		}
		w.onLoop(func() bool { return w.f.Clients() == 0 })
	}
	heap := func() float64 {
		var m runtime.MemStats
		w.node.ClearLog()
		runtime.GC()
		runtime.GC()
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc)
	}
	churn(100)
	some := heap()
	churn(600)
	many := heap()
	t.Logf("%.0f KiB after 100 rounds, %.0f KiB after 700", some/1024, many/1024)
	if many > some+256<<10 {
		t.Error("it grows")
	}
	w.nothingKept()
	w.f.OnLoop(func() {
		if n := w.f.NodeConns(); n > 8 {
			t.Errorf("%d connections to nodes are kept", n)
		}
	})
}
