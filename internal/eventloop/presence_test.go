package eventloop

import (
	"net"
	"strings"
	"testing"
	"time"
)

// maxUnread is the longest time for which the tests let input stay unread.
const maxUnread = 20 * time.Millisecond

// pausingHandler pauses its connection as soon as input arrives.
type pausingHandler struct{ conn chan *Conn }

func (h *pausingHandler) OnData(c *Conn, b []byte) int {
	c.Pause()
	select {
	case h.conn <- c:
	default:
	}
	return len(b)
}

func (h *pausingHandler) OnDrained(*Conn)      {}
func (h *pausingHandler) OnClose(*Conn, error) {}

// writeUntilBlocked writes up to n bytes. It stops early when the kernel accepts no more for a while.
func writeUntilBlocked(t *testing.T, peer *net.TCPConn, n int) {
	t.Helper()
	text := []byte(strings.Repeat("x", 1<<10))
	for written := 0; written < n; {
		if err := peer.SetWriteDeadline(time.Now().Add(2 * maxUnread)); err != nil {
			t.Fatal(err)
		}
		accepted, err := peer.Write(text)
		written += accepted
		if err != nil && accepted == 0 {
			return
		}
	}
}

// TestPeerPresence checks that a connection notices the close of its peer while it is paused, and that it is
// not sure of its peer if unread input may hide the close.
func TestPeerPresence(t *testing.T) {
	for name, c := range map[string]struct {
		unread int
		closes bool
		want   Presence
	}{
		"nothing unread": {0, false, Present},
		"closed":         {0, true, Absent},
		"unread input":   {1 << 10, false, Present},
		"closed behind":  {1 << 10, true, Absent},
		"window closed":  {16 << 20, false, Unknown},
		"hidden close":   {16 << 20, true, Unknown},
	} {
		t.Run(name, func(t *testing.T) {
			h := &pausingHandler{conn: make(chan *Conn, 1)}
			peer := dialTCP(t, listen(t, h))
			if _, err := peer.Write([]byte("a")); err != nil {
				t.Fatal(err)
			}
			conn := <-h.conn
			writeUntilBlocked(t, peer, c.unread)
			if c.closes {
				if err := peer.CloseWrite(); err != nil {
					t.Fatal(err)
				}
			}
			time.Sleep(2 * maxUnread)
			got := make(chan Presence, 1)
			conn.Loop().Post(func() { got <- conn.PeerPresence(maxUnread) })
			if p := <-got; p != c.want {
				t.Errorf("presence of the peer: got %v, want %v", p, c.want)
			}
		})
	}
}
