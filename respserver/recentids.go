package respserver

import "hash/maphash"

// recentIDs remembers the IDs of the last requests that were sent to a node, so that a request which comes
// again is not executed again after its client has left. It keeps hashes of the IDs, in place of the IDs
// themselves, because clients choose the length of an ID.
type recentIDs struct {
	seed   maphash.Seed
	hashes map[uint64]struct{}
	order  []uint64 // the hashes in the order of their addition, as a ring buffer
	oldest int      // index of the oldest hash once order is full
}

// newRecentIDs returns a set that remembers the given number of IDs.
func newRecentIDs(capacity int) *recentIDs {
	return &recentIDs{
		seed:   maphash.MakeSeed(),
		hashes: make(map[uint64]struct{}),
		order:  make([]uint64, 0, max(capacity, 1)),
	}
}

// contains reports whether the set remembers an ID.
func (r *recentIDs) contains(id []byte) bool {
	_, ok := r.hashes[maphash.Bytes(r.seed, id)]
	return ok
}

// add adds an ID that the set does not contain. If the set is full, add removes the oldest ID.
func (r *recentIDs) add(id []byte) {
	hash := maphash.Bytes(r.seed, id)
	r.hashes[hash] = struct{}{}
	if len(r.order) < cap(r.order) {
		r.order = append(r.order, hash)
		return
	}
	delete(r.hashes, r.order[r.oldest])
	r.order[r.oldest] = hash
	r.oldest = (r.oldest + 1) % len(r.order)
}
