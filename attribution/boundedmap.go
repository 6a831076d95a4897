package attribution

// boundedMap is a map with a fixed capacity. When it is full, a new key replaces the oldest one.
type boundedMap[K comparable, V any] struct {
	entries []boundedMapEntry[K, V]
	index   map[K]int // maps a key to its index in entries
	next    int       // index in entries that the next new key gets
}

type boundedMapEntry[K comparable, V any] struct {
	key  K
	val  V
	used bool
}

func newBoundedMap[K comparable, V any](capacity int) *boundedMap[K, V] {
	return &boundedMap[K, V]{entries: make([]boundedMapEntry[K, V], capacity), index: map[K]int{}}
}

// put stores a value under a key. If this evicts the value of another key, put returns the evicted
// value and true.
func (m *boundedMap[K, V]) put(key K, v V) (evicted V, ok bool) {
	if i, found := m.index[key]; found {
		m.entries[i].val = v
		return evicted, false
	}
	e := &m.entries[m.next]
	if evicted, ok = e.val, e.used; ok {
		delete(m.index, e.key)
	}
	*e = boundedMapEntry[K, V]{key: key, val: v, used: true}
	m.index[key] = m.next
	m.next = (m.next + 1) % len(m.entries)
	return evicted, ok
}

// take removes a key and returns its value. It returns false if the map does not contain the key.
func (m *boundedMap[K, V]) take(key K) (v V, ok bool) {
	i, ok := m.index[key]
	if !ok {
		return v, false
	}
	v = m.entries[i].val
	m.entries[i] = boundedMapEntry[K, V]{}
	delete(m.index, key)
	return v, true
}
