// Package placement maps objects to shards by rendezvous hashing. Dispatchers that
// share no state compute the same mapping and need no index. If a shard is added,
// only the keys that it takes over move. The package does no I/O and keeps no state
// between calls.
package placement

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"chalkstand/dispatch"
)

// Map holds the shards of one installation. The zero value has no shards.
type Map struct {
	shards []dispatch.Shard
	seeds  []uint64 // hash seed of each shard
}

// New returns the Map of the shards 0 to n-1.
func New(n int) *Map {
	m := &Map{shards: make([]dispatch.Shard, n), seeds: make([]uint64, n)}
	for i := range n {
		m.shards[i] = dispatch.Shard(i)
		m.seeds[i] = mix(uint64(i) + 0x9e3779b97f4a7c15)
	}
	return m
}

// mix is the finalizer of splitmix64. Every bit of x affects every bit of the result.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// Volume holds the shards of one volume.
type Volume struct {
	hash   uint64           // hash of the volume's name
	shards []dispatch.Shard // shards in ascending order
	seeds  []uint64         // hash seed of each shard
}

// Volume returns the volume with the given name. It selects the shards that rank highest
// for the name; spread is the number of shards to select. If spread is 0 or exceeds the
// number of shards, Volume selects all shards.
func (m *Map) Volume(name string, spread int) *Volume {
	h := xxhash.Sum64String(name)
	if spread <= 0 || spread >= len(m.shards) {
		return &Volume{hash: h, shards: m.shards, seeds: m.seeds}
	}
	rank := make([]int, len(m.shards))
	for i := range rank {
		rank[i] = i
	}
	slices.SortFunc(rank, func(a, b int) int {
		return cmp.Or(cmp.Compare(mix(h^m.seeds[b]), mix(h^m.seeds[a])), cmp.Compare(a, b))
	})
	rank = rank[:spread]
	slices.Sort(rank)
	v := &Volume{hash: h}
	for _, i := range rank {
		v.shards, v.seeds = append(v.shards, m.shards[i]), append(v.seeds, m.seeds[i])
	}
	return v
}

// Shards returns all shards of the volume in ascending order. Callers must not change
// the returned slice.
func (v *Volume) Shards() []dispatch.Shard { return v.shards }

// Shard returns the shard that holds a key.
func (v *Volume) Shard(key string) dispatch.Shard {
	h := mix(v.hash ^ xxhash.Sum64String(key))
	bestRank, bestIndex := uint64(0), 0
	for i, seed := range v.seeds {
		if rank := mix(h ^ seed); rank > bestRank || i == 0 {
			bestRank, bestIndex = rank, i
		}
	}
	return v.shards[bestIndex]
}
