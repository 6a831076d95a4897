package respserver

import (
	"slices"

	"go.uber.org/zap"

	"chalkstand/internal/bufferlimit"
	"chalkstand/internal/eventloop"
)

const (
	mib = 1 << 20
	// programBytes is the resident memory of an idle server without its heap, most of which is its executable.
	programBytes = 20 * mib
	// minBufferShare is the least share of the memory limit that the heap may use. It applies where the
	// memory limit is hardly larger than programBytes.
	minBufferShare = 0.25
	// maxHeapShare is the largest share of the memory limit that the heap may use. The rest is reserved
	// for the executable, the kernel's buffers and the garbage that accumulates between two collections.
	maxHeapShare = 0.6
)

// These shares divide the memory of the heap. Each share bounds the sum over all connections.
const (
	partialCommandShare = 0.1  // incomplete commands of clients
	retainedShare       = 0.15 // arguments of open requests and replies that wait for earlier replies
	unsentReplyShare    = 0.15 // replies that clients have not read
	nodeBufferShare     = 0.15 // incomplete replies of nodes and requests that nodes have not read
)

// These numbers of entries belong to each mebibyte of the heap.
const (
	requestsPerMB  = 64
	volumesPerMB   = 128
	recentIDsPerMB = 256
)

const (
	minPartialCommandBytes = 512 << 10 // lets several clients send their largest command at the same time
	minNodeBufferBytes     = 512 << 10
	minClientRead          = 2 << 10  // bytes of one read from a client
	maxClientRead          = 32 << 10 // bytes of one read from a client
	maxClientShare         = 0.25     // largest share of the retained bytes that one client may use
	minClientRetained      = 256 << 10
)

// HeapBytes returns the number of bytes that the heap may use. It is the soft memory limit of the Go
// runtime, and the server derives the limits of its buffers and tables from it.
func (c *Config) HeapBytes() int64 {
	limit := c.MemoryMB * mib
	return int64(min(max(limit-programBytes, limit*minBufferShare), limit*maxHeapShare))
}

// memoryLimits holds the limits of the server's buffers, in bytes. Each limit applies to the sum over all
// connections, unless the field says otherwise.
type memoryLimits struct {
	partialCommands int
	retained        int
	clientRetained  int // limit of the part of retained that one client uses
	unsentReplies   int
	nodeBuffers     int
	clientRead      int // limit of one read from one client
}

// memoryLimits derives the limits of the buffers from the memory limit.
func (c *Config) memoryLimits() memoryLimits {
	heap := float64(c.HeapBytes())
	l := memoryLimits{
		partialCommands: max(int(heap*partialCommandShare), minPartialCommandBytes),
		retained:        int(heap * retainedShare),
		unsentReplies:   int(heap * unsentReplyShare),
		nodeBuffers:     max(int(heap*nodeBufferShare), minNodeBufferBytes),
	}
	l.clientRetained = max(int(float64(l.retained)*maxClientShare), minClientRetained)
	l.clientRead = min(max(l.partialCommands/c.maxClientConns(), minClientRead), maxClientRead)
	return l
}

// perHeapMB returns a number of entries for each mebibyte of the heap.
func (c *Config) perHeapMB(entries int) int { return int(c.HeapBytes()) / mib * entries }

// setPartialBytes records that the client's connection holds the given number of bytes of an incomplete
// command.
func (cl *client) setPartialBytes(received int) {
	n := eventloop.InputBufferSize(received)
	cl.server.partialBytes += n - cl.partialBytes
	cl.partialBytes = n
}

// limitPartialCommands rejects incomplete commands until all others together are within their limit. The
// costliest ones go first: a client that sends a command at full speed keeps its place beside clients
// that have stopped. current is the client whose input is being read.
func (s *Server) limitPartialCommands(current *client) {
	for s.partialBytes > s.limits.partialCommands {
		victim, ok := bufferlimit.Costliest(slices.Values(s.clients), (*client).partialUsage, s.now())
		if !ok {
			return
		}
		s.stats.partialCommandsEvicted++
		s.warnMemory("incomplete commands", s.partialBytes, s.limits.partialCommands)
		victim.rejectPartialCommand(s.cfg.Settings.Dispatch.DefaultRetryAfter())
		if victim != current { // the event loop releases the input of current
			victim.conn.DiscardInput()
		}
	}
}

// partialUsage returns the memory that the client's incomplete command uses.
func (cl *client) partialUsage() bufferlimit.Usage {
	return bufferlimit.Usage{Bytes: cl.partialBytes, Since: cl.partialSince}
}

// countBuffers records how many bytes the node's connection holds: the given number of an incomplete
// reply, and the part of the request that the kernel has not accepted.
func (c *nodeConn) countBuffers(partialReply int) {
	n := eventloop.InputBufferSize(partialReply) + c.conn.BufferedOutput()
	if c.bufferedBytes == 0 {
		c.bufferedSince = c.server.now()
	}
	c.server.nodeBytes += n - c.bufferedBytes
	c.bufferedBytes = n
}

// limitNodeBuffers closes the node connections whose buffers are the costliest until all others together
// are within their limit.
func (s *Server) limitNodeBuffers() {
	for s.nodeBytes > s.limits.nodeBuffers {
		victim, ok := bufferlimit.Costliest(s.eachNodeConn, (*nodeConn).bufferUsage, s.now())
		if !ok {
			return
		}
		s.stats.nodeConnsEvicted++
		s.warnMemory("replies of nodes", s.nodeBytes, s.limits.nodeBuffers)
		victim.closeLost(victim.lostEvent())
	}
}

// bufferUsage returns the memory that the connection's buffers use.
func (c *nodeConn) bufferUsage() bufferlimit.Usage {
	return bufferlimit.Usage{Bytes: c.bufferedBytes, Since: c.bufferedSince}
}

// eachNodeConn calls yield for each connection to a node until yield returns false.
func (s *Server) eachNodeConn(yield func(*nodeConn) bool) {
	for _, c := range s.nodeConns {
		if !yield(c) {
			return
		}
	}
}

// warnMemory logs that a use of memory has reached its limit, at most once per warnInterval.
func (s *Server) warnMemory(use string, bytes, limit int) {
	now := s.now()
	if now < s.nextMemoryWarning {
		return
	}
	s.nextMemoryWarning = now + warnInterval
	s.log.Warn("memory limit reached",
		zap.String("use", use), zap.Int("bytes", bytes), zap.Int("limit", limit), zap.Int("connections", len(s.clients)))
}
