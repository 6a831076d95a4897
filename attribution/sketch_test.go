package attribution

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// The sketch keeps its word beside a plain map, for streams of many shapes.
func TestSketchBounds(t *testing.T) {
	for seed := range uint64(60) {
		rng := rand.New(rand.NewPCG(seed, 3))
		k := 1 + rng.IntN(40)
		zipf := rand.NewZipf(rng, 1.01+rng.Float64(), 1, uint64(1+rng.IntN(2000)))
		parts := 1 + rng.IntN(4)
		truth := map[int]int64{}
		whole := NewSketch[int](k)
		for range parts { // merged from several, as windows are
			s := NewSketch[int](k)
			for range rng.IntN(3000) {
				key, w := int(zipf.Uint64()), 1+rng.Int64N(1000)
				truth[key] += w
				s.Add(key, w)
			}
			whole.Merge(s)
		}
		var total int64
		for _, w := range truth {
			total += w
		}
		if whole.Total() != total || whole.Len() > k {
			t.Fatalf("seed %d: total %d of %d, %d keys", seed, whole.Total(), total, whole.Len())
		}
		for key, w := range truth {
			it := whole.Get(key)
			if it.Count < w || it.Count-it.Error > w {
				t.Fatalf("seed %d: key %d: %d with error %d, truth %d", seed, key, it.Count, it.Error, w)
			}
			if it.Error > total/int64(k) {
				t.Fatalf("seed %d: error %d above %d/%d", seed, it.Error, total, k)
			}
			if w > total/int64(k) && whole.counters[key] == nil {
				t.Fatalf("seed %d: a key with %d of %d is not among %d", seed, w, total, k)
			}
		}
		top := whole.Top(k)
		if !slices.IsSortedFunc(top, func(a, b Item[int]) int { return cmp.Compare(b.Count, a.Count) }) {
			t.Fatal("top is not in order")
		}
	}
}

// BenchmarkPairs compares the sketch with a plain map over 100,000 volumes.
func BenchmarkPairs(b *testing.B) {
	rng := rand.New(rand.NewPCG(1, 1))
	zipf := rand.NewZipf(rng, 1.2, 1, 99_999)
	stream := make([]Pair, 1<<20)
	names := make([]string, 100_000)
	for i := range names {
		names[i] = fmt.Sprint("volume-", i)
	}
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
