package store_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"

	"sycamorespread.dev/fakekv"
	"sycamorespread.dev/store"
)

var limits = store.RateLimits{Reads: 1000, Writes: 1000}

// history records the values that a key of a store had, by time.
type history struct {
	mu     sync.Mutex
	times  []time.Time
	values []string
}

// record calls change, which returns the value that the key then has.
func (h *history) record(change func() string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	value := change()
	h.times = append(h.times, time.Now())
	h.values = append(h.values, value)
}

func (h *history) last() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.values[len(h.values)-1]
}

// isCurrent reports whether the key had the value at a time or has had it since.
func (h *history) isCurrent(value string, at time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := range h.values {
		ended := i+1 < len(h.times) && h.times[i+1].Before(at)
		if h.values[i] == value && !ended {
			return true
		}
	}
	return false
}

// restoredStore is a store whose key k changes, and that is restored from copies at random.
type restoredStore struct {
	kv      *fakekv.Store
	history history
	value   int
}

func (s *restoredStore) change() {
	s.history.record(func() string {
		s.value++
		s.kv.Put("k", fmt.Append(nil, s.value))
		return fmt.Sprint(s.value)
	})
}

// play changes and restores the store for a while.
func (s *restoredStore) play(rng *rand.Rand) {
	type backup struct {
		copy  *fakekv.Copy
		value string
	}
	var backups []backup
	for range 40 {
		time.Sleep(time.Duration(rng.IntN(400)) * time.Millisecond)
		switch rng.IntN(5) {
		case 0:
			s.change()
		case 1, 2:
			s.kv.Put("other", nil)
		case 3:
			backups = append(backups, backup{s.kv.Copy(), s.history.last()})
		case 4:
			if len(backups) == 0 {
				continue
			}
			b := backups[rng.IntN(len(backups))]
			cut := rng.IntN(2) == 0
			s.history.record(func() string {
				s.kv.Restore(b.copy, cut)
				return b.value
			})
			if rng.IntN(2) == 0 {
				// The writers are back at once and reach the revision that they had.
				s.change()
			}
		}
	}
}

func TestWatchConfirmsAnOldItemAfterARestore(t *testing.T) {
	const interval = time.Second
	for seed := range uint64(300) {
		synctest.Test(t, func(t *testing.T) {
			s := &restoredStore{kv: fakekv.New(time.Now)}
			s.change()
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			var seen string
			confirm := func(at time.Time) {
				if !s.history.isCurrent(seen, at) {
					t.Errorf("seed %d: value %s is confirmed as of %s", seed, seen, at)
				}
			}
			c := store.New(s.kv.Transport(), limits)
			w := store.Watcher{
				Key: "k", Now: time.Now, Interval: func() time.Duration { return interval }, Keep: func() bool { return true },
				OnItem: func(item store.Item, at time.Time) {
					seen = string(item.Value)
					confirm(at)
				},
				OnUnchanged: confirm,
			}
			var g errgroup.Group
			g.Go(func() error {
				for ctx.Err() == nil {
					// A watch that was cut is opened again.
					_ = c.Watch(ctx, w)
					time.Sleep(10 * time.Millisecond)
				}
				return nil
			})
			s.play(rand.New(rand.NewPCG(seed, 1)))
			time.Sleep(interval + 100*time.Millisecond)
			synctest.Wait()
			if want := s.history.last(); seen != want {
				t.Errorf("seed %d: the watch shows %s, the store holds %s for longer than the interval", seed, seen, want)
			}
			cancel()
			_ = g.Wait()
		})
	}
}

func TestRenewalKeepsTheLeaseOfAnotherAfterARestore(t *testing.T) {
	ctx := context.Background()
	kv := fakekv.New(time.Now)
	c, other := store.New(kv.Transport(), limits), store.New(kv.Transport(), limits)
	backup := kv.Copy()
	lease, err := c.Grant(ctx, time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	kv.Restore(backup, true)
	theirs, err := other.Grant(ctx, time.Minute)
	if err != nil || theirs.ID != lease.ID {
		t.Fatalf("lease %v, want the ID of %v; %v", theirs, lease, err)
	}
	for range 2 {
		if alive, err := c.Renew(ctx, lease); alive || err != nil {
			t.Errorf("renewal of a lease of the lost history: %t, %v", alive, err)
		}
	}
	if alive, err := other.Renew(ctx, theirs); !alive || err != nil {
		t.Errorf("renewal: %t, %v", alive, err)
	}
}

func TestWriteReplacesANewerItemAfterARestore(t *testing.T) {
	ctx := context.Background()
	for _, known := range []bool{true, false} {
		kv := fakekv.New(time.Now)
		c := store.New(kv.Transport(), limits)
		backup := kv.Copy()
		put, err := c.Put(ctx, "k", []byte("mine"), store.Revision{}, store.Lease{})
		if err != nil || !put.Swapped {
			t.Fatalf("%+v, %v", put, err)
		}
		kv.Restore(backup, true)
		kv.Put("k", []byte("theirs"))
		if known {
			if _, err := c.Get(ctx, "other"); err != nil {
				t.Fatal(err)
			}
		}
		again, err := c.Put(ctx, "k", []byte("mine again"), put.Item.Revision, store.Lease{})
		var restored *store.RestoredError
		if !errors.As(err, &restored) {
			t.Errorf("restore known %t: a write on a revision of the lost history: %+v, %v", known, again, err)
		}
		var unavailable *store.UnavailableError
		if errors.As(err, &unavailable) && unavailable.MaybeWritten == known {
			t.Errorf("restore known %t: maybe written: %t", known, unavailable.MaybeWritten)
		}
		if item, err := c.Get(ctx, "k"); known && (err != nil || string(item.Value) != "theirs") {
			t.Errorf("%+v, %v", item, err)
		}
	}
}

func TestListMixesTwoErasOfTheStore(t *testing.T) {
	kv := fakekv.New(time.Now)
	for i := range 120 {
		kv.Put(fmt.Sprintf("p/%03d", i), []byte("old"))
	}
	empty := fakekv.New(time.Now).Copy()
	tr := kv.Transport()
	page := tr.Range
	pages := 0
	tr.Range = func(ctx context.Context, prefix, after string, stale bool) (store.Page, error) {
		if pages++; pages == 2 {
			kv.Restore(empty, true)
			for i := range 120 {
				kv.Put(fmt.Sprintf("p/%03d", i), []byte("new"))
			}
		}
		return page(ctx, prefix, after, stale)
	}
	items, err := store.New(tr, limits).List(context.Background(), "p/", false)
	if err != nil || len(items) != 120 {
		t.Fatalf("%d items, %v", len(items), err)
	}
	for _, it := range items {
		if string(it.Value) != "new" {
			t.Fatalf("item %s of the era before", it.Key)
		}
	}
}
