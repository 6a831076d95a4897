package e2e

import (
	"bytes"
	"chalkstand/dispatch"
	"chalkstand/fake/storagenode"
	"chalkstand/gateway"
	"chalkstand/internal/settings"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	kit "chalkstand/internal/testkit"
)

// crowded is a site whose answers must take turns for every few bytes, on one loop.
func crowded(t *testing.T, change func(*settings.Settings), opts ...gateway.Option) *kit.Site {
	s := kit.Settings(1)
	s.Loops = 1
	s.Share.Depth, s.Share.Crowd, s.Share.Draw = 1, 1000, 16<<10
	if change != nil {
		change(&s)
	}
	e := kit.Start(t, s, nil, opts...)
	for _, b := range []string{"photos", "loans"} {
		e.Data[0].AddBucket(b, time.Now())
		e.Data[0].Store(b, "large", pattern(b, 2<<20))
	}
	return e
}

func pattern(name string, n int) []byte {
	return bytes.Repeat([]byte(name+" line seven, "), n/len(name)+1)[:n]
}

// Streams that take turns before a node are whole, while others leave in the middle,
// while waiting for their turn, or do not read.
func TestStreamsInTurn(t *testing.T) {
	e := crowded(t, nil)
	idle := kit.Must(net.Dial("tcp", e.Addr))(t) // asks, and does not read
	defer idle.Close()
	idle.(*net.TCPConn).SetReadBuffer(4 << 10)
	r, _ := http.NewRequest("GET", "http://"+e.Addr+"/photos/large", nil)
	kit.SignRequest(r, kit.KeyID, kit.Secret, time.Now())
	r.Write(idle)
	var wg sync.WaitGroup
	for i := range 24 {
		wg.Go(func() {
			name := []string{"photos", "loans"}[i%2]
			resp := e.Signed("GET", "/"+name+"/large", nil, nil)
			defer resp.Body.Close()
			if i%3 == 2 { // leaves
				io.CopyN(io.Discard, resp.Body, 100<<10)
				return
			}
			b, err := io.ReadAll(resp.Body)
			if err != nil || resp.StatusCode != 200 || !bytes.Equal(b, pattern(name, 2<<20)) {
				t.Errorf("%s: %s, %d bytes, %v", name, resp.Status, len(b), err)
			}
		})
	}
	wg.Wait()
}

// A node that stops in the middle of an answer which has given way is found out, and
// others go on meanwhile.
func TestStandingStreamIsCut(t *testing.T) {
	e := crowded(t, func(s *settings.Settings) { s.Limits.ClientBody = settings.Duration(500 * time.Millisecond) })
	e.Nodes[0].Inject(storagenode.Fault{Kind: storagenode.StallInResponse, Count: 1, For: 20 * time.Second})
	resp := e.Signed("GET", "/photos/large", nil, nil)
	for range 3 {
		kit.Same(t, "beside one that stands", kit.ReadAll(t, e.Signed("GET", "/loans/large", nil, nil).Body), pattern("loans", 2<<20))
	}
	if b, err := io.ReadAll(resp.Body); err == nil {
		t.Errorf("%d bytes and no sign that they are not all", len(b))
	}
	resp.Body.Close()
}

// A plan's limit in bytes paces bodies both ways and cuts none; what would wait for too
// long is told when to come back.
func TestLimitInBytes(t *testing.T) {
	e := crowded(t, func(s *settings.Settings) { s.Plans[0].MiBPerSecond, s.Plans[0].MiBBurst = 8, 0.5 })
	for _, what := range []string{"GET", "PUT"} {
		began := time.Now()
		var body io.Reader
		if what == "PUT" {
			body = bytes.NewReader(pattern("photos", 2<<20))
		}
		resp := e.Signed(what, "/photos/large", nil, body)
		b := kit.ReadAll(t, resp.Body)
		if resp.StatusCode != 200 {
			t.Fatalf("%s: %s %s", what, resp.Status, b)
		}
		if what == "GET" {
			kit.Same(t, "paced", b, pattern("photos", 2<<20))
		}
		if took := time.Since(began); took < 170*time.Millisecond { // (2 - 0.5) MiB at 8 a second, less a turn
			t.Errorf("%s of 2 MiB took %v at 8 MiB a second", what, took)
		}
	}
	kit.Same(t, "of another volume", kit.ReadAll(t, e.Signed("GET", "/loans/large", nil, nil).Body), pattern("loans", 2<<20))
}

func TestLimitInBytesRefuses(t *testing.T) {
	e := crowded(t, func(s *settings.Settings) {
		s.Plans[0].MiBPerSecond, s.Plans[0].MiBBurst = 0.5, 0.125
		s.Share.MaxWait = settings.Duration(time.Millisecond)
	})
	long := e.Signed("GET", "/photos/large", nil, nil) // keeps its volume at the limit
	defer long.Body.Close()
	go io.Copy(io.Discard, long.Body)
	for range 200 {
		resp := e.Signed("HEAD", "/photos/large", nil, nil)
		resp.Body.Close()
		if resp.StatusCode == 503 {
			if resp.Header.Get("Retry-After") == "" {
				t.Error("refused without a time to come back")
			}
			if other := e.Signed("HEAD", "/loans/large", nil, nil); other.StatusCode != 200 {
				t.Errorf("another volume: %s", other.Status)
			}
			return
		}
	}
	t.Error("no request over the limit was refused")
}

// Heads that wait since their volume's limit holds it are not taken for a loop that is
// overloaded: what is over its limit is paced.
func TestPacedIsNotOverloaded(t *testing.T) {
	e := crowded(t, func(s *settings.Settings) {
		s.Plans[0].MiBPerSecond, s.Plans[0].MiBBurst = 4, 0.125
		s.Share.Overload.Target, s.Share.Overload.Interval = settings.Duration(10*time.Millisecond), settings.Duration(150*time.Millisecond)
		s.Share.MaxWait = settings.Duration(time.Minute)
	})
	e.Data[0].Store("photos", "k", pattern("photos", 100<<10))
	var wg sync.WaitGroup
	for range 16 {
		wg.Go(func() {
			for range 3 {
				resp := e.Signed("GET", "/photos/k", nil, nil)
				if kit.ReadAll(t, resp.Body); resp.StatusCode != 200 {
					t.Error(resp.Status)
				}
			}
		})
	}
	wg.Wait()
}

// In order of arrival, for comparison, all works too.
func TestOrderOfArrival(t *testing.T) {
	e := crowded(t, func(s *settings.Settings) { s.Share.Order = "arrival" })
	for range 3 {
		kit.Same(t, "in order of arrival", kit.ReadAll(t, e.Signed("GET", "/loans/large", nil, nil).Body), pattern("loans", 2<<20))
	}
	if resp := e.Signed("PUT", "/photos/small", nil, strings.NewReader("x")); resp.StatusCode != 200 {
		t.Error(resp.Status)
	}
}

// A body that is paced for longer than the limit on standstill is not taken for one that
// stands: it is this gateway that makes it wait.
func TestPacedIsNotStanding(t *testing.T) {
	e := crowded(t, func(s *settings.Settings) {
		s.Plans[0].MiBPerSecond, s.Plans[0].MiBBurst = 0.0625, 0.001
		s.Share.Quantum = 16 << 10 // a quarter of a second
		s.Limits.ClientBody = settings.Duration(50 * time.Millisecond)
		s.Share.MaxWait = settings.Duration(time.Minute)
	})
	body := pattern("photos", 100<<10)
	e.Data[0].Store("photos", "k", body)
	kit.Same(t, "paced", kit.ReadAll(t, e.Signed("GET", "/photos/k", nil, nil).Body), body)
	resp := e.Signed("PUT", "/photos/k", nil, bytes.NewReader(body))
	if b := kit.ReadAll(t, resp.Body); resp.StatusCode != 200 {
		t.Errorf("PUT: %s %s", resp.Status, b)
	}
}

// What volumes had is told by volume, over all loops.
func TestSharesAreTold(t *testing.T) {
	e := crowded(t, func(s *settings.Settings) { s.Loops = 2 })
	for range 4 {
		kit.ReadAll(t, e.Signed("GET", "/photos/large", nil, nil).Body)
	}
	for _, s := range e.G.VolumeUsage() {
		if s.Volume == "photos" {
			if s.Bytes < 8<<20 || s.LoopTime <= 0 || s.Weight != 1 {
				t.Errorf("%+v after 8 MiB", s)
			}
			return
		}
	}
	t.Error("photos is not told")
}

// A read whose size was not known is charged by what its answer's head tells, and by
// what had come where its client leaves before the end.
func TestTrueSizeIsCharged(t *testing.T) {
	told := make(chan float64, 16)
	e := crowded(t, nil, gateway.WithTrace(func(_ time.Duration, ev dispatch.Event, _ []dispatch.Action) {
		if m, ok := ev.(dispatch.CostCorrection); ok {
			told <- m.Units
		}
	}))
	kit.ReadAll(t, e.Signed("GET", "/photos/large", http.Header{"Range": {"bytes=0-200000"}}, nil).Body) // its size was known
	kit.ReadAll(t, e.Signed("GET", "/photos/large", nil, nil).Body)
	const guess, true2MiB = 1 + 1.0/16, 3.0
	if u := <-told; u != true2MiB-guess {
		t.Errorf("charged %g units more, want %g", u, true2MiB-guess)
	}
	e.Data[0].Store("photos", "huge", pattern("photos", 12<<20))
	resp := e.Signed("GET", "/photos/huge", nil, nil)
	io.CopyN(io.Discard, resp.Body, 100<<10)
	resp.Body.Close()
	more, back := <-told, <-told
	if more != 13-guess || back >= 0 || back < -12 {
		t.Errorf("charged %g and %g for a client that left early", more, back)
	}
}
