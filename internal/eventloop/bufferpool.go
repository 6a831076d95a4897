package eventloop

import "math/bits"

// Sizes of the buffers that a pool keeps. All sizes are powers of 2.
const (
	minPooledBits  = 12 // 4 KiB
	maxPooledBits  = 18 // 256 KiB
	maxPooledBytes = 512 << 10
)

// bufferPool keeps released input buffers for reuse, so that peers which send large messages in many
// pieces cause no garbage. It keeps at most maxPooledBytes. Its zero value is ready to use.
type bufferPool struct {
	free  [maxPooledBits - minPooledBits + 1][][]byte // released buffers by size
	bytes int
}

// pooledSize returns the size of the buffer that get returns.
func pooledSize(n int) int {
	bitCount := max(bits.Len(uint(n-1)), minPooledBits)
	if bitCount > maxPooledBits {
		return n
	}
	return 1 << bitCount
}

// get returns an empty buffer with room for at least n bytes.
func (p *bufferPool) get(n int) []byte {
	size := pooledSize(n)
	class := classOf(size)
	if class < 0 {
		return make([]byte, 0, size)
	}
	last := len(p.free[class]) - 1
	if last < 0 {
		return make([]byte, 0, size)
	}
	b := p.free[class][last]
	p.free[class][last] = nil
	p.free[class] = p.free[class][:last]
	p.bytes -= size
	return b
}

// classOf returns the index in bufferPool.free of the buffers of a size, or -1 if the pool keeps no
// buffers of this size.
func classOf(size int) int {
	class := bits.Len(uint(size)) - 1 - minPooledBits
	if class < 0 || class > maxPooledBits-minPooledBits || size != 1<<(class+minPooledBits) {
		return -1
	}
	return class
}

// put releases a buffer that get has returned. The caller must not use the buffer any more.
func (p *bufferPool) put(b []byte) {
	size := cap(b)
	class := classOf(size)
	if class < 0 || p.bytes+size > maxPooledBytes {
		return
	}
	p.free[class] = append(p.free[class], b[:0])
	p.bytes += size
}
