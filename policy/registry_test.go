package policy_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"pgregory.net/rapid"

	"sycamorespread.dev/policy"
	"sycamorespread.dev/store"
	"sycamorespread.dev/sycapb"
)

// delivery is the fate of one call to the fake platform.
type delivery int

const (
	delivered delivery = iota
	requestLost
	responseLost
)

// pendingCall is a platform call that waits until the test resumes it.
type pendingCall struct {
	write  bool
	resume chan delivery
}

// fakePlatform executes its calls one at a time; the test chooses their order and
// which requests and responses are lost.
type fakePlatform struct {
	items   map[string]store.Item
	version store.Revision
	calls   chan *pendingCall
}

func newFakePlatform() *fakePlatform {
	return &fakePlatform{items: map[string]store.Item{}, calls: make(chan *pendingCall)}
}

// schedule blocks until the test resumes the call; without a scheduler every call
// is delivered at once.
func (f *fakePlatform) schedule(scheduled, write bool) delivery {
	if !scheduled {
		return delivered
	}
	c := &pendingCall{write: write, resume: make(chan delivery)}
	f.calls <- c
	return <-c.resume
}

func (f *fakePlatform) item(key string) store.Item {
	if it, ok := f.items[key]; ok {
		return it
	}
	return store.Item{Key: key}
}

func (f *fakePlatform) registry(scheduled bool) *policy.Registry {
	return &policy.Registry{
		Get: func(_ context.Context, key string) (store.Item, error) {
			if f.schedule(scheduled, false) != delivered {
				return store.Item{}, &store.UnavailableError{Op: "get", Key: key, Err: errors.New("lost")}
			}
			return f.item(key), nil
		},
		Put: func(_ context.Context, key string, value []byte, base store.Revision, _ store.Lease) (store.WriteResult, error) {
			d := f.schedule(scheduled, true)
			lost := &store.UnavailableError{Op: "put", Key: key, MaybeWritten: true, Err: errors.New("lost")}
			if d == requestLost {
				return store.WriteResult{}, lost
			}
			result := store.WriteResult{Item: f.item(key)}
			if result.Item.Revision == base {
				f.version.Number++
				f.items[key] = store.Item{Key: key, Value: value, Revision: f.version}
				result = store.WriteResult{Swapped: true, Item: f.item(key)}
			}
			if d == responseLost {
				return store.WriteResult{}, lost
			}
			return result, nil
		},
		Now:   time.Now,
		Sleep: func(context.Context, time.Duration) bool { return true },
	}
}

func proposeAndReview(t rapid.TB, r *policy.Registry, n int) string {
	c, err := r.Propose(context.Background(), "anna", "", validPolicy+fmt.Sprintf("; %d\n", n))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := r.Review(context.Background(), c.Id, &sycapb.Review{Author: "bent", Text: "ok", Approve: true}); err != nil {
		t.Fatal(err)
	}
	return c.Id
}

// acceptConcurrently accepts the changes at the same time, draws the order and the
// losses of their platform calls, and returns the error of each accept.
func acceptConcurrently(t *rapid.T, f *fakePlatform, ids []string) []error {
	errs := make([]error, len(ids))
	var g errgroup.Group
	finished := make(chan int, len(ids))
	for i, id := range ids {
		g.Go(func() error {
			_, errs[i] = f.registry(true).Accept(context.Background(), id)
			finished <- i
			return nil
		})
	}
	active := len(ids)
	var waiting []*pendingCall
	for active > 0 {
		for len(waiting) < active {
			select {
			case call := <-f.calls:
				waiting = append(waiting, call)
			case <-finished:
				active--
			}
		}
		if active == 0 {
			break
		}
		i := rapid.IntRange(0, len(waiting)-1).Draw(t, "next")
		call := waiting[i]
		waiting = append(waiting[:i], waiting[i+1:]...)
		d := delivered
		if rapid.IntRange(0, 3).Draw(t, "lost") == 0 {
			d = rapid.SampledFrom([]delivery{requestLost, responseLost}).Draw(t, "loss")
		}
		call.resume <- d
	}
	_ = g.Wait()
	return errs
}

// Concurrent accepts interleave their platform calls in any order and lose
// requests or responses. An accept that succeeds must be in the history, one that
// reports a conflict must not, and the history must be a single chain.
func TestAcceptReportsItsOutcome(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFakePlatform()
		reliable := f.registry(false)
		for round := range rapid.IntRange(1, 3).Draw(t, "rounds") {
			var ids []string
			for n := range rapid.IntRange(2, 4).Draw(t, "operators") {
				ids = append(ids, proposeAndReview(t, reliable, 10*round+n))
			}
			// An operator may retry an accept.
			ids = append(ids, ids[0])
			errs := acceptConcurrently(t, f, ids)
			_, changes, err := reliable.History(context.Background(), 0)
			if err != nil {
				t.Fatal(err)
			}
			checkOutcomes(t, ids, errs, changes)
		}
	})
}

func checkOutcomes(t *rapid.T, ids []string, errs []error, changes []*sycapb.Change) {
	inHistory := map[string]bool{}
	for i, c := range changes {
		inHistory[c.Id] = true
		if want := uint64(len(changes) - i - 1); c.BaseRevision != want {
			t.Fatalf("change %d of the history has base %d, want %d", i, c.BaseRevision, want)
		}
	}
	for i, id := range ids {
		var conflict *policy.ConflictError
		switch {
		case errs[i] == nil && !inHistory[id]:
			t.Fatalf("accept of %s succeeded, but the history does not contain it", id)
		case errors.As(errs[i], &conflict) && (inHistory[id] || !inHistory[conflict.AcceptedID]):
			t.Fatalf("accept of %s reported a conflict with %s, which contradicts the history", id, conflict.AcceptedID)
		}
	}
}

func TestReviewRules(t *testing.T) {
	f := newFakePlatform()
	r := f.registry(false)
	ctx := context.Background()
	c, err := r.Propose(ctx, "anna", "", validPolicy)
	if err != nil {
		t.Fatal(err)
	}
	wantRejected := func(name string, err error) {
		t.Helper()
		var bad *policy.RejectedError
		if !errors.As(err, &bad) {
			t.Errorf("%s: %v", name, err)
		}
	}
	_, err = r.Accept(ctx, c.Id)
	wantRejected("accept without review", err)
	_, err = r.Review(ctx, c.Id, &sycapb.Review{Author: "anna", Text: "fine", Approve: true})
	wantRejected("review by the author", err)
	_, err = r.Review(ctx, c.Id, &sycapb.Review{Author: "bent", Approve: true})
	wantRejected("review without text", err)
	if _, err = r.Review(ctx, c.Id, &sycapb.Review{Author: "bent", Text: "no"}); err != nil {
		t.Fatal(err)
	}
	_, err = r.Accept(ctx, c.Id)
	wantRejected("accept of a rejected change", err)
	_, err = r.Accept(ctx, "nothing")
	wantRejected("accept of an unknown change", err)
	_, err = r.Propose(ctx, "anna", "", "[method x.y]\nclass = none\n")
	var line *policy.LineError
	if !errors.As(err, &line) || line.Line != 2 {
		t.Errorf("invalid policy: %v", err)
	}
}

func TestAcceptOnRestoredOldHeadIsRejected(t *testing.T) {
	f := newFakePlatform()
	r := f.registry(false)
	ctx := context.Background()
	if _, err := r.Accept(ctx, proposeAndReview(t, r, 1)); err != nil {
		t.Fatal(err)
	}
	backup := f.item(policy.HeadKey)
	second := proposeAndReview(t, r, 2)
	if _, err := r.Accept(ctx, second); err != nil {
		t.Fatal(err)
	}
	third := proposeAndReview(t, r, 3)
	f.items[policy.HeadKey] = store.Item{Key: policy.HeadKey, Value: backup.Value, Revision: store.Revision{Number: 1000}}
	_, err := r.Accept(ctx, third)
	var bad *policy.RejectedError
	if !errors.As(err, &bad) {
		t.Fatalf("accept on an older head: %v", err)
	}
}
