package attribution

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// The guarantees of the sketch hold against the exact weights in a map, for many random streams.
func TestSketchBounds(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 3))
			k := 1 + rng.IntN(40)
			zipf := rand.NewZipf(rng, 1.01+rng.Float64(), 1, uint64(1+rng.IntN(2000)))
			sketches := 1 + rng.IntN(4)
			trueWeights := map[int]int64{}
			whole := NewSketch[int](k)
			for range sketches { // merge several sketches, as a sum of windows does
				s := NewSketch[int](k)
				for range rng.IntN(3000) {
					key, weight := int(zipf.Uint64()), 1+rng.Int64N(1000)
					trueWeights[key] += weight
					s.Add(key, weight)
				}
				whole.Merge(s)
			}
			checkSketch(t, whole, trueWeights, k)
		})
	}
}

// checkSketch checks the guarantees of a sketch with a capacity of k keys against the true weights.
func checkSketch(t *testing.T, s *Sketch[int], trueWeights map[int]int64, k int) {
	t.Helper()
	var total int64
	for _, weight := range trueWeights {
		total += weight
	}
	if s.Total() != total || s.Len() > k {
		t.Fatalf("total weight: got %d, want %d; got %d keys, want at most the capacity", s.Total(), total, s.Len())
	}
	for key, weight := range trueWeights {
		item := s.Get(key)
		if item.Count < weight || item.Count-item.Error > weight {
			t.Fatalf("key %d: got count %d with error %d, want bounds that include %d",
				key, item.Count, item.Error, weight)
		}
		if item.Error > total/int64(k) {
			t.Fatalf("error of a key: got %d, want at most %d/%d", item.Error, total, k)
		}
		if weight > total/int64(k) && s.counters[key] == nil {
			t.Fatalf("a key with weight %d of %d is not kept, want it among the %d keys", weight, total, k)
		}
	}
	top := s.Top(k)
	if !slices.IsSortedFunc(top, func(a, b Item[int]) int { return cmp.Compare(b.Count, a.Count) }) {
		t.Fatal("Top returned items out of order, want them sorted by descending count")
	}
}

// BenchmarkPairs compares a sketch of pairs with a map, over 100,000 volumes.
func BenchmarkPairs(b *testing.B) {
	rng := rand.New(rand.NewPCG(1, 1))
	zipf := rand.NewZipf(rng, 1.2, 1, 99_999)
	stream := make([]Pair, 1<<20)
	names := volumeNames(100_000)
	for i := range stream {
		stream[i] = Pair{names[zipf.Uint64()], names[zipf.Uint64()]}
	}
	b.Run("sketch-128", func(b *testing.B) {
		s := NewSketch[Pair](128)
		b.ReportAllocs()
		for i := 0; b.Loop(); i++ {
			s.Add(stream[i&(1<<20-1)], 1000)
		}
		b.ReportMetric(float64(s.Len()), "keys")
	})
	b.Run("map", func(b *testing.B) {
		m := map[Pair]int64{}
		b.ReportAllocs()
		for i := 0; b.Loop(); i++ {
			m[stream[i&(1<<20-1)]] += 1000
		}
		b.ReportMetric(float64(len(m)), "keys")
	})
}

// volumeNames returns n distinct volume names.
func volumeNames(n int) []string {
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprint("volume-", i)
	}
	return names
}
