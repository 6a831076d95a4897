package objectapi

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
)

// randomShards distributes random names over shards. A name is a key, or a prefix that ends with a
// slash. randomShards returns the sorted names of each shard, and the sorted names of all shards.
func randomShards(rng *rand.Rand, shards int) (byShard [][]string, all []string) {
	byShard = make([][]string, shards)
	for i := range 1 + rng.IntN(60) {
		name := fmt.Sprintf("k%02d", rng.IntN(50))
		if rng.IntN(3) == 0 {
			name = fmt.Sprintf("p%d/", rng.IntN(8))
		} else {
			name += fmt.Sprint("-", i)
		}
		s := rng.IntN(shards)
		if !slices.Contains(byShard[s], name) {
			byShard[s] = append(byShard[s], name)
		}
		all = append(all, name)
	}
	for _, names := range byShard {
		slices.Sort(names)
	}
	slices.Sort(all)
	return byShard, slices.Compact(all)
}

// shardPage returns the page that holds the first names of a shard that are greater than after. The
// page has at most limit names.
func shardPage(names []string, after string, limit int) Page {
	var p Page
	for _, name := range names {
		switch {
		case name <= after:
		case len(p.Contents)+len(p.Prefixes) == limit:
			p.Truncated = true
			return p
		case strings.HasSuffix(name, "/"):
			p.Prefixes = append(p.Prefixes, name)
		default:
			p.Contents = append(p.Contents, Content{Key: name})
		}
	}
	return p
}

// pageNames returns the sorted names of all keys and prefixes of a page.
func pageNames(p Page) []string {
	names := slices.Clone(p.Prefixes)
	for _, c := range p.Contents {
		names = append(names, c.Key)
	}
	slices.Sort(names)
	return names
}

// TestMergedPagesEqualOneList checks that the merged pages of several shards list the same names in
// the same order as one sorted list of all names. The distribution of the names over the shards must
// make no difference.
func TestMergedPagesEqualOneList(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		shards := 1 + rng.IntN(6)
		limit := 1 + rng.IntN(9)
		byShard, want := randomShards(rng, shards)
		var got []string
		for after, more := "", true; more; {
			var pages []Page
			for _, names := range byShard {
				pages = append(pages, shardPage(names, after, limit))
			}
			merged := MergePages(pages, after, limit)
			names := pageNames(merged)
			got = append(got, names...)
			if merged.Truncated && (len(names) != limit || merged.Next != names[len(names)-1]) {
				t.Fatalf("seed %d: a truncated page has %d names, want %d; its Next is %q, want its last name",
					seed, len(names), limit, merged.Next)
			}
			after = merged.Next
			more = merged.Truncated
		}
		if !slices.Equal(got, want) {
			t.Fatalf("seed %d: names of all pages: got %v, want %v", seed, got, want)
		}
	}
}
