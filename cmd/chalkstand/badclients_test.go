package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"chalkstand/fake/respnode"
)

// The limits of a dispatcher with the least memory and CPU time, and the most descriptors, that a platform gives it.
const (
	leastMemoryMB = 32
	leastCores    = 0.25
	mostSockets   = 1024
)

// Sizes and times of the bad clients.
const (
	crowd             = 550 // fewer than the server's limit of client connections, so that sound clients can connect
	soundCount        = 10
	largestBody       = 64 << 10
	badClientTime     = 4 * time.Second
	closeTolerance    = 150 * time.Millisecond // an attempt may begin so long after the close of its client
	commandsAtOnce    = 100
	pipelinedRequests = 60
	unreadBytes       = 8 << 20 // more than the kernel buffers for a connection
)

// playBadClients runs bad clients beside sound ones, and checks the limits of the process and the replies to the
// sound clients.
func playBadClients(t *testing.T, count int, behave badClient) {
	t.Helper()
	r := startLimitedRun(t, 2)
	ctx, cancel := context.WithTimeout(t.Context(), badClientTime)
	defer cancel()
	go r.throttle(ctx, leastCores)
	sound := startSoundClients(ctx, r.addr, respProtocol{})
	bad := startBadClients(ctx, r.addr, count, behave)
	sound.check(t)
	bad.Wait()
	r.checkLimits(t)
}

// TestUnfinishedCommandsExceedMemory guards against commands that arrive in part, of many clients at once.
func TestUnfinishedCommandsExceedMemory(t *testing.T) {
	put := putCommand("0123456789abcdef", 1, 7, strings.Repeat("x", largestBody))
	for name, behave := range map[string]badClient{
		"stopped":      sendAndWait(put[:len(put)-largestBody/16]),
		"slow":         sendSlowly(put, largestBody/8, 100*time.Millisecond),
		"short fields": sendAndWait("*16\r\n" + strings.Repeat("$0\r\n\r\n", 15)),
	} {
		t.Run(name, func(t *testing.T) { playBadClients(t, crowd, behave) })
	}
}

// largeReply is a reply of a node with the largest value.
var largeReply = "*3\r\n" + respnode.Bulk(strings.Repeat("v", largestBody)) + "$-1\r\n$-1\r\n"

// playAllBuffers runs clients and nodes that use all kinds of buffers and tables at the same time: incomplete
// commands, unread replies, unread values, large commands behind a silent node, replies of nodes that stop within a
// value, and ever new volumes and ids. It checks the limits of the process, and returns the sound clients, which have
// ended.
func playAllBuffers(t *testing.T) *soundClients {
	t.Helper()
	const shards, silent, cut, large = 4, 0, 2, 3
	body := strings.Repeat("x", largestBody)
	put := putCommand("0123456789abcdef", 1, 7, body)
	pings := strings.Repeat(respnode.Command("PING"), commandsAtOnce)
	reads := func(shard int) func() string {
		return func() string { return getCommand(newRequestID(), shard, requestIDs.Load(), time.Second) }
	}
	r := startLimitedRun(t, shards)
	r.nodes[silent].SetDefault(respnode.Behavior{Hang: true})
	r.nodes[cut].SetDefault(respnode.Behavior{Reply: largeReply[:largestBody/2]})
	r.nodes[large].SetDefault(respnode.Behavior{Reply: largeReply})
	ctx, cancel := context.WithTimeout(t.Context(), badClientTime)
	defer cancel()
	go r.throttle(ctx, leastCores)
	sound := startSoundClients(ctx, r.addr, respProtocol{})
	var bad []*sync.WaitGroup
	for _, c := range []struct {
		count  int
		behave badClient
	}{
		{150, sendAndWait(put[:len(put)-largestBody/16])},
		{100, sendAtFullSpeed(func() string { return pings }, false)},
		{100, sendAtFullSpeed(reads(large), false)},
		{50, sendAtFullSpeed(reads(cut), true)},
		{50, sendAtFullSpeed(func() string { return putCommand(newRequestID(), silent, 1, body) }, true)},
		{50, sendAtFullSpeed(reads(1), true)},
	} {
		bad = append(bad, startBadClients(ctx, r.addr, c.count, c.behave))
	}
	sound.wait.Wait()
	for _, group := range bad {
		group.Wait()
	}
	r.checkLimits(t)
	return sound
}

// TestAllBuffersTogetherExceedMemory guards against a sum of all buffers that exceeds the memory limit.
func TestAllBuffersTogetherExceedMemory(t *testing.T) {
	if sound := playAllBuffers(t); sound.served == 0 {
		t.Error("sound clients: got none of their requests served, want some")
	}
}

// TestAllBuffersTogetherDelayReplies guards against late replies to sound clients while all buffers are in use.
func TestAllBuffersTogetherDelayReplies(t *testing.T) { playAllBuffers(t).checkReplies(t) }

// manyGets returns commands that each read a piece of a new volume under a new id.
func manyGets() string {
	var b strings.Builder
	for range commandsAtOnce {
		id := requestIDs.Add(1)
		b.WriteString(getCommand(fmt.Sprintf("%016x", id), 1, id, time.Second))
	}
	return b.String()
}

// longFields returns a command whose list of names and values has very many short ones.
func longFields(class string) string {
	fields := fmt.Sprintf("c=%s,t=gold,d=1000,volume=%016x,units=1,shard=1,hosts=1", class, requestIDs.Add(1))
	return respnode.Command("OBJ.GET", "00000000000000aa", newRequestID(), fields+strings.Repeat(",a=", 300))
}

// TestFloodDelaysOtherClients guards against clients that send small or invalid commands at full speed.
func TestFloodDelaysOtherClients(t *testing.T) {
	pings := strings.Repeat(respnode.Command("PING"), 5*commandsAtOnce)
	ping := func() string { return pings }
	for _, c := range []struct {
		name   string
		count  int
		behave badClient
	}{
		{"one client", 1, sendAtFullSpeed(ping, true)},
		{"crowd", 300, sendAtFullSpeed(ping, true)},
		{"replies unread", crowd, sendAtFullSpeed(ping, false)},
		{"new volumes", 1, sendAtFullSpeed(manyGets, true)},
		{"new volumes of ten clients", 10, sendAtFullSpeed(manyGets, true)},
		{"many fields", 1, sendAtFullSpeed(func() string { return longFields("read") }, true)},
		{"invalid class", 1, sendAtFullSpeed(func() string { return longFields("none") }, true)},
	} {
		t.Run(c.name, func(t *testing.T) { playBadClients(t, c.count, c.behave) })
	}
}

// TestRequestsOfClosedClientAreSent guards against attempts for a client that has closed its connection behind
// input that the server has not read. The first request of the client gets no reply, so that the server writes
// nothing to the closed connection. The others fail at first and are retried after the close.
func TestRequestsOfClosedClientAreSent(t *testing.T) {
	commands := strings.Repeat(respnode.Command("PING"), unreadBytes/len(respnode.Command("PING")))
	puts := func() string {
		var b strings.Builder
		for range pipelinedRequests {
			b.WriteString(putCommand(newRequestID(), 1, 1, "body"))
		}
		return b.String()
	}
	for name, unread := range map[string]string{
		"nothing":        "",
		"commands":       commands,
		"huge value":     "*2\r\n$4\r\nPING\r\n$62914560\r\n" + strings.Repeat("x", unreadBytes),
		"further writes": strings.Repeat(puts(), unreadBytes/len(puts())),
	} {
		t.Run(name, func(t *testing.T) {
			r := startLimitedRun(t, 2)
			r.nodes[0].SetDefault(respnode.Behavior{Hang: true})
			r.nodes[1].SetDefault(respnode.Behavior{Delay: 4 * closeTolerance / 3, Reply: "-ERR failed\r\n"})
			conn := dialTest(t, r.addr)
			_ = conn.SetWriteDeadline(time.Now().Add(closeTolerance / 5)) // the server does not read all of it
			sent := time.Now()
			_, _ = io.WriteString(conn, getCommand(newRequestID(), 0, 1, soundTimeout)+puts()+unread)
			time.Sleep(time.Until(sent.Add(closeTolerance / 5)))
			_ = conn.Close()
			closed := time.Now()
			time.Sleep(soundTimeout + time.Second)
			log := r.nodes[1].Log()
			late := 0
			for _, command := range log {
				if command.Arrived.Sub(closed) > closeTolerance {
					late++
				}
			}
			if late > 0 || len(log) == 0 {
				t.Errorf("commands at the node: got %d, %d of them later than %v after the close of their client; want some and 0",
					len(log), late, closeTolerance)
			}
			r.checkLimits(t)
		})
	}
}

// TestIDOfCanceledRequestRunsTwice guards against a second execution of a request whose client has left.
func TestIDOfCanceledRequestRunsTwice(t *testing.T) {
	r := startLimitedRun(t, 2)
	node := r.nodes[0]
	node.SetDefault(respnode.Behavior{Delay: 200 * time.Millisecond})
	id := newRequestID()
	for range 2 {
		conn := dialTest(t, r.addr)
		if _, err := io.WriteString(conn, getCommand(id, 0, 1, soundTimeout)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(100 * time.Millisecond)
		_ = conn.Close()
	}
	time.Sleep(300 * time.Millisecond)
	if got := len(node.Log()); got != 1 {
		t.Errorf("executions of a request that was sent, canceled and sent again: got %d, want 1", got)
	}
}

// dialTest opens a connection to a server.
func dialTest(t *testing.T, addr string) net.Conn {
	t.Helper()
	conn, err := new(net.Dialer).DialContext(t.Context(), "tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	return conn
}
