package watchcache_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"redwingsill/core/record"
	"redwingsill/core/watchcache"
)

func put(key string, revision int64) record.Record {
	return record.Record{Key: key, Value: []byte(fmt.Sprint(revision)), Revision: revision}
}

func removed(key string, revision int64) record.Record {
	return record.Record{Key: key, Revision: revision, IsRemoved: true}
}

func TestChangesAfter(t *testing.T) {
	cache := watchcache.New([]record.Record{put("a", 3), put("b", 5)}, 10).
		With([]record.Record{put("c", 11), removed("a", 12), put("c", 14)}, 20).
		With([]record.Record{put("c", 13)}, 15)
	for _, c := range []struct {
		after int64
		want  string
		ok    bool
	}{{9, "[]", false}, {10, "[a- c]", true}, {12, "[c]", true}, {14, "[]", true}, {20, "[]", true}} {
		changes, ok := cache.ChangesAfter(c.after)
		names := []string{}
		for _, r := range changes {
			name := r.Key
			if r.IsRemoved {
				name += "-"
			}
			names = append(names, name)
		}
		if got := fmt.Sprint(names); got != c.want || ok != c.ok {
			t.Errorf("changes after revision %d: %s %v, want %s %v", c.after, got, ok, c.want, c.ok)
		}
	}
	if cache.Revision() != 20 || len(cache.All()) != 2 {
		t.Errorf("revision %d with %d entries, want 20 with 2", cache.Revision(), len(cache.All()))
	}
}

// A watcher that applies the changes after any revision that the cache reaches back to has the same entries as the
// cache.
func TestWatchersCatchUp(t *testing.T) {
	for seed := range uint64(8) {
		random := rand.New(rand.NewPCG(seed, 1))
		cache := watchcache.New(nil, 0)
		copies := []map[string]int64{{}, {}, {}}
		revisions := make([]int64, len(copies))
		for revision := int64(1); revision < 1400; revision++ {
			change := put(fmt.Sprint("k", random.IntN(900)), revision)
			if random.IntN(2) == 0 {
				change = removed(change.Key, revision)
			}
			cache = cache.With([]record.Record{change}, revision)
			n := random.IntN(400) // most revisions pass without a watcher that catches up
			if n >= len(copies) {
				continue
			}
			changes, ok := cache.ChangesAfter(revisions[n])
			if !ok {
				copies[n], changes = map[string]int64{}, cache.All()
			}
			for _, c := range changes {
				copies[n][c.Key] = c.Revision
				if c.IsRemoved {
					delete(copies[n], c.Key)
				}
			}
			revisions[n] = cache.Revision()
			all := cache.All()
			if len(all) != len(copies[n]) {
				t.Fatalf("seed %d, revision %d: the watcher has %d entries, the cache %d", seed, revision, len(copies[n]), len(all))
			}
			for _, r := range all {
				if copies[n][r.Key] != r.Revision {
					t.Fatalf("seed %d, revision %d: the watcher has %s at revision %d, the cache at %d", seed, revision, r.Key, copies[n][r.Key], r.Revision)
				}
			}
		}
	}
}
