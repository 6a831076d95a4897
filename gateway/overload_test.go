package gateway_test

import (
	"bufio"
	"chalkstand/attribution"
	"chalkstand/gateway"
	"chalkstand/internal/settings"
	"net"
	"net/http"
	"testing"
	"time"

	kit "chalkstand/internal/testkit"
)

// client is a connection that asks for the same object again and again.
type client struct {
	net.Conn
	r    *bufio.Reader
	path string
}

func (c client) ask(t *testing.T, addr, secret string) {
	t.Helper()
	r, _ := http.NewRequest("GET", "http://"+addr+c.path, nil)
	kit.SignRequest(r, kit.KeyID, secret, time.Now())
	if err := r.Write(c); err != nil {
		t.Fatal(err)
	}
}

func (c client) answer(t *testing.T) *http.Response {
	t.Helper()
	c.SetReadDeadline(time.Now().Add(20 * time.Second))
	resp := kit.Must(http.ReadResponse(c.r, nil))(t)
	kit.ReadAll(t, resp.Body)
	return resp
}

// overloaded is a site whose volume photos has more to do than its share, with so many clients
// whose requests all wait when it goes on.
func overloaded(t *testing.T, clients int, back time.Duration, secret string, opts ...gateway.Option) (*kit.Site, []client) {
	s := kit.Settings(1)
	s.Loops = 1
	s.Share.Overload = settings.Overload{Target: 1, Interval: settings.Duration(time.Minute), Back: settings.Duration(back), MaxBack: settings.Duration(2 * back)}
	if back == 0 {
		s.Share.Overload = settings.Overload{}
	}
	e := kit.Start(t, s, nil, opts...)
	for _, b := range []string{"photos", "loans"} {
		e.Data[0].AddBucket(b, time.Now())
		e.Data[0].Store(b, "small", []byte("a photo"))
	}
	var all []client
	for i := range clients {
		path := "/photos/small"
		if back == 0 && i%2 == 1 {
			path = "/loans/small"
		}
		c := kit.Must(net.Dial("tcp", e.Addr))(t)
		t.Cleanup(func() { c.Close() })
		all = append(all, client{c, bufio.NewReader(c), path})
	}
	for _, c := range all { // each speaks for the volume from here on
		c.ask(t, e.Addr, kit.Secret)
		if resp := c.answer(t); resp.StatusCode != 200 {
			t.Fatal(resp.Status)
		}
	}
	release := e.G.Overload("photos")
	for _, c := range all {
		c.ask(t, e.Addr, secret)
	}
	release()
	return e, all
}

// Of two requests that come together the one that had to wait is refused, before its
// signature is looked at, with a time to come back; the one that did not wait is looked at.
func TestOverloadIsRefusedBeforeTheSignature(t *testing.T) {
	_, all := overloaded(t, 2, time.Second, "a wrong secret")
	by := map[int]http.Header{}
	for _, c := range all {
		resp := c.answer(t)
		by[resp.StatusCode] = resp.Header
	}
	if by[403] == nil || by[503].Get("Retry-After") == "" {
		t.Errorf("%v", by)
	}
}

// Who was refused and asks again before the time that he was told is not answered before
// it, and is served then. One that leaves meanwhile is forgotten.
func TestRefusedClientIsLeftAloneUntilItsTime(t *testing.T) {
	const back = 200 * time.Millisecond
	e, all := overloaded(t, 8, back, kit.Secret)
	var refused []client
	for _, c := range all {
		if c.answer(t).StatusCode == 503 {
			refused = append(refused, c)
		}
	}
	told := time.Now()
	if len(refused) < 2 {
		t.Fatalf("%d refused", len(refused))
	}
	refused[0].Close()
	for _, c := range refused[1:] {
		c.ask(t, e.Addr, kit.Secret)
	}
	for i, c := range refused[1:] {
		resp := c.answer(t)
		if i == 0 && time.Since(told) < back/2-20*time.Millisecond {
			t.Errorf("answered after %v", time.Since(told))
		}
		for resp.StatusCode == 503 { // it waited behind another whose rest had ended
			c.ask(t, e.Addr, kit.Secret)
			resp = c.answer(t)
		}
	}
}

// Of a hundred requests that come together the last wait for the loop behind the first:
// their accounts say so, name the other volume, and sum to what they took.
func TestWaitForTheLoopIsAccountedFor(t *testing.T) {
	const clients = 100
	entries := make(chan attribution.Entry, 4*clients)
	e, all := overloaded(t, clients, 0, kit.Secret, gateway.WithAttribution(func(e attribution.Entry) { entries <- e }))
	for _, c := range all {
		if resp := c.answer(t); resp.StatusCode != 200 {
			t.Error(resp.Status)
		}
	}
	e.G.Close() // hands over what is left
	close(entries)
	waited, behind, n := time.Duration(0), time.Duration(0), 0
	for x := range entries {
		n++
		if x.Parts.Total() != x.Ended-x.Started {
			t.Errorf("%v of %v", x.Parts.Total(), x.Ended-x.Started)
		}
		sum := time.Duration(0)
		for _, b := range x.Behind {
			if b.Volume == x.Volume {
				t.Errorf("%s waited behind itself", x.Volume)
			}
			if sum += b.Time; b.Volume == "photos" {
				behind += b.Time
			}
		}
		if d := x.Parts[attribution.EventLoop]; d > 0 {
			waited += d
			if line := d + x.Parts[attribution.QueuedBehindOthers] + x.Parts[attribution.NodeQueue]; sum > line {
				t.Errorf("waited %v behind others, of %v in line", sum, line)
			}
		}
	}
	if n != 2*clients || waited == 0 || behind == 0 {
		t.Errorf("%d entries, waited %v, %v of it behind photos by loans", n, waited, behind)
	}
}

// A request whose client had already left when its turn came is not begun, nor is its body
// taken for another.
func TestRequestOfOneWhoLeftIsNotBegun(t *testing.T) {
	e, all := overloaded(t, 1, 0, kit.Secret)
	c := all[0]
	c.answer(t)
	before := len(e.Log())
	release := e.G.Overload("photos")
	c.ask(t, e.Addr, kit.Secret)
	c.Conn.(*net.TCPConn).CloseWrite()
	release()
	c.SetReadDeadline(time.Now().Add(20 * time.Second))
	if b, err := c.r.Peek(1); err == nil {
		t.Errorf("answered: %q", b)
	}
	if n := len(e.Log()) - before; n != 0 {
		t.Errorf("%d requests at the node", n)
	}
}
