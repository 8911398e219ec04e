package store_test

import (
	"context"
	"testing"
	"time"

	"sycamorespread.dev/store"
)

// watched runs a Watcher on a transport until OnItem or OnUnchanged was called
// calls times, and returns the revisions of the items.
func watched(t *testing.T, tr store.Transport, calls int) []uint64 {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	var seen []uint64
	done := func() {
		if calls--; calls == 0 {
			cancel()
		}
	}
	c := store.New(tr, store.RateLimits{Reads: 1000, Writes: 1000})
	// The error is that of ctx.
	_ = c.Watch(ctx, store.Watcher{
		Key:      "k",
		Now:      time.Now,
		Interval: func() time.Duration { return 10 * time.Millisecond },
		Keep:     func() bool { return true },
		OnItem: func(item store.Item, _ time.Time) {
			seen = append(seen, item.Revision)
			done()
		},
		OnUnchanged: func(time.Time) { done() },
	})
	return seen
}

func TestChangeIsMissedIfWatchSkipsIt(t *testing.T) {
	item := store.Item{Key: "k", Revision: 5, StoreRevision: 5}
	tr := store.Transport{
		Get: func(context.Context, string) (store.Item, error) { return item, nil },
		Watch: func(_ context.Context, _ string, after uint64, wait time.Duration) ([]store.Event, uint64, error) {
			time.Sleep(wait)
			item.Revision, item.StoreRevision = 8, 9
			return nil, max(9, after), nil
		},
	}
	if seen := watched(t, tr, 4); len(seen) < 2 || seen[1] != 8 {
		t.Errorf("revisions %v", seen)
	}
}

func TestWatchSpinsAfterCompaction(t *testing.T) {
	const compacted = 50
	reads := 0
	tr := store.Transport{
		Get: func(context.Context, string) (store.Item, error) {
			reads++
			return store.Item{Key: "k", Revision: 5, StoreRevision: 60}, nil
		},
		Watch: func(_ context.Context, _ string, after uint64, wait time.Duration) ([]store.Event, uint64, error) {
			if after < compacted {
				return nil, 0, &store.CompactedError{After: after}
			}
			time.Sleep(wait)
			return nil, 60, nil
		},
	}
	watched(t, tr, 10)
	if reads > 2 {
		t.Errorf("%d reads for an item that did not change", reads)
	}
}

func TestSuspendedWatchConfirmsAnOldItem(t *testing.T) {
	now := time.Unix(1000, 0)
	var confirmed []time.Time
	ctx, cancel := context.WithCancel(context.Background())
	tr := store.Transport{
		Get: func(context.Context, string) (store.Item, error) {
			return store.Item{Key: "k", Revision: 5, StoreRevision: 5}, nil
		},
		Watch: func(_ context.Context, _ string, after uint64, _ time.Duration) ([]store.Event, uint64, error) {
			// The response arrives, and is read after the machine was suspended.
			now = now.Add(4 * time.Second)
			return nil, after, nil
		},
	}
	c := store.New(tr, store.RateLimits{Reads: 1000, Writes: 1000})
	start := now
	// The error is that of ctx.
	_ = c.Watch(ctx, store.Watcher{
		Key:      "k",
		Now:      func() time.Time { return now },
		Interval: func() time.Duration { return time.Second },
		Keep:     func() bool { return true },
		OnItem:   func(store.Item, time.Time) {},
		OnUnchanged: func(at time.Time) {
			confirmed = append(confirmed, at)
			cancel()
		},
	})
	if len(confirmed) != 1 || confirmed[0].Sub(start) > time.Second {
		t.Errorf("confirmed as of %v, the response was sent within a second of %s", confirmed, start)
	}
}
