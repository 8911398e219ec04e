package store_test

import (
	"context"
	"testing"
	"time"

	"sycamorespread.dev/store"
)

// at returns a revision of a store that was never restored.
func at(number uint64) store.Revision {
	return store.Revision{Number: number}
}

// watched runs a Watcher on a transport until OnItem or OnUnchanged was called
// calls times, and returns the revisions of the items.
func watched(t *testing.T, tr store.Transport, calls int) []store.Revision {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	var seen []store.Revision
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
	item := store.Item{Key: "k", Revision: at(5), StoreRevision: at(5)}
	tr := store.Transport{
		Get: func(context.Context, string) (store.Item, error) { return item, nil },
		Watch: func(_ context.Context, _ string, after store.Revision, wait time.Duration) ([]store.Event, store.Revision, error) {
			time.Sleep(wait)
			item.Revision, item.StoreRevision = at(8), at(9)
			return nil, at(max(9, after.Number)), nil
		},
	}
	if seen := watched(t, tr, 4); len(seen) < 2 || seen[1] != at(8) {
		t.Errorf("revisions %v", seen)
	}
}

func TestWatchSpinsAfterCompaction(t *testing.T) {
	const compacted = 50
	reads := 0
	tr := store.Transport{
		Get: func(context.Context, string) (store.Item, error) {
			reads++
			return store.Item{Key: "k", Revision: at(5), StoreRevision: at(60)}, nil
		},
		Watch: func(_ context.Context, _ string, after store.Revision, wait time.Duration) ([]store.Event, store.Revision, error) {
			if after.Number < compacted {
				return nil, store.Revision{}, &store.CompactedError{After: after}
			}
			time.Sleep(wait)
			return nil, at(60), nil
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
			return store.Item{Key: "k", Revision: at(5), StoreRevision: at(5)}, nil
		},
		Watch: func(_ context.Context, _ string, after store.Revision, _ time.Duration) ([]store.Event, store.Revision, error) {
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
