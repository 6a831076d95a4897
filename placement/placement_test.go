package placement

import (
	"fmt"
	"strconv"
	"testing"

	"chalkstand/dispatch"
)

func TestKeysSpreadEvenly(t *testing.T) {
	const shards, keys = 16, 64000
	v := New(shards).Volume("photos", 0)
	counts := make([]int, shards)
	for i := range keys {
		counts[v.Shard(fmt.Sprint("line-7/part-", i))]++
	}
	for s, n := range counts {
		if n < keys/shards*9/10 || n > keys/shards*11/10 {
			t.Errorf("shard %d holds %d of %d keys, want a sixteenth with a tolerance of 10%%", s, n, keys)
		}
	}
}

// An added shard takes over keys from the other shards. No key moves between the others.
func TestAddedShardMovesOnlyItsKeys(t *testing.T) {
	before, after := New(8).Volume("photos", 0), New(9).Volume("photos", 0)
	moved := 0
	for i := range 20000 {
		key := strconv.Itoa(i)
		if from, to := before.Shard(key), after.Shard(key); from != to {
			if to != 8 {
				t.Fatalf("key %s moved from shard %d to %d, want only moves to shard 8", key, from, to)
			}
			moved++
		}
	}
	if moved < 20000/9*9/10 || moved > 20000/9*11/10 {
		t.Errorf("%d of 20000 keys moved, want a ninth with a tolerance of 10%%", moved)
	}
}

func TestVolumeSpread(t *testing.T) {
	m := New(32)
	used := map[dispatch.Shard]int{}
	for i := range 400 {
		v := m.Volume(fmt.Sprint("vol-", i), 3)
		if len(v.Shards()) != 3 || v.Shards()[0] >= v.Shards()[1] || v.Shards()[1] >= v.Shards()[2] {
			t.Fatalf("shards of a volume with spread 3 = %v, want 3 in ascending order", v.Shards())
		}
		again := New(32).Volume(fmt.Sprint("vol-", i), 3)
		for k := range 20 {
			s := v.Shard(strconv.Itoa(k))
			if s != again.Shard(strconv.Itoa(k)) {
				t.Fatal("two maps of 32 shards place the same key on different shards")
			}
			used[s]++
		}
	}
	if len(used) != 32 {
		t.Errorf("400 volumes use %d shards, want all 32", len(used))
	}
}

func BenchmarkShard(b *testing.B) {
	for _, n := range []int{4, 64, 512} {
		v := New(n).Volume("photos", 0)
		b.Run(fmt.Sprint(n, "-shards"), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				v.Shard("line-7/part-0000123.jpg")
			}
		})
	}
}
