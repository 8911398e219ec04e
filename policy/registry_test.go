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

// answer is what the fake platform does with one call.
type answer int

const (
	served answer = iota
	lostBefore
	lostAfter
)

// step is one platform call that waits for its turn.
type step struct {
	write bool
	turn  chan answer
}

// fake is a platform whose calls happen one at a time, in an order and with
// losses that the test chooses.
type fake struct {
	items   map[string]store.Item
	version uint64
	steps   chan *step
}

func newFake() *fake {
	return &fake{items: map[string]store.Item{}, steps: make(chan *step)}
}

// wait asks for a turn; without a scheduler every call is served.
func (f *fake) wait(scheduled, write bool) answer {
	if !scheduled {
		return served
	}
	s := &step{write: write, turn: make(chan answer)}
	f.steps <- s
	return <-s.turn
}

func (f *fake) item(key string) store.Item {
	if it, ok := f.items[key]; ok {
		return it
	}
	return store.Item{Key: key}
}

func (f *fake) registry(scheduled bool) *policy.Registry {
	return &policy.Registry{
		Get: func(_ context.Context, key string) (store.Item, error) {
			if f.wait(scheduled, false) != served {
				return store.Item{}, &store.UnavailableError{Op: "get", Key: key, Err: errors.New("lost")}
			}
			return f.item(key), nil
		},
		Put: func(_ context.Context, key string, value []byte, base, _ uint64) (store.WriteResult, error) {
			a := f.wait(scheduled, true)
			lost := &store.UnavailableError{Op: "put", Key: key, MaybeWritten: true, Err: errors.New("lost")}
			if a == lostBefore {
				return store.WriteResult{}, lost
			}
			reply := store.WriteResult{Item: f.item(key)}
			if reply.Item.Revision == base {
				f.version++
				f.items[key] = store.Item{Key: key, Value: value, Revision: f.version}
				reply = store.WriteResult{Swapped: true, Item: f.item(key)}
			}
			if a == lostAfter {
				return store.WriteResult{}, lost
			}
			return reply, nil
		},
		Now:   time.Now,
		Sleep: func(context.Context, time.Duration) bool { return true },
	}
}

func proposed(t rapid.TB, r *policy.Registry, n int) string {
	c, err := r.Propose(context.Background(), "anna", "", good+fmt.Sprintf("; %d\n", n))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := r.Review(context.Background(), c.Id, &sycapb.Review{Author: "bent", Text: "ok", Approve: true}); err != nil {
		t.Fatal(err)
	}
	return c.Id
}

// schedule runs the operators' accepts with their platform calls in an order
// and with losses drawn by the test, and returns how each ended.
func schedule(t *rapid.T, f *fake, ids []string) []error {
	errs := make([]error, len(ids))
	var g errgroup.Group
	ended := make(chan int, len(ids))
	for i, id := range ids {
		g.Go(func() error {
			_, errs[i] = f.registry(true).Accept(context.Background(), id)
			ended <- i
			return nil
		})
	}
	live := len(ids)
	var waiting []*step
	for live > 0 {
		for len(waiting) < live {
			select {
			case s := <-f.steps:
				waiting = append(waiting, s)
			case <-ended:
				live--
			}
		}
		if live == 0 {
			break
		}
		i := rapid.IntRange(0, len(waiting)-1).Draw(t, "next")
		s := waiting[i]
		waiting = append(waiting[:i], waiting[i+1:]...)
		a := served
		if rapid.IntRange(0, 3).Draw(t, "lost") == 0 {
			a = rapid.SampledFrom([]answer{lostBefore, lostAfter}).Draw(t, "loss")
		}
		s.turn <- a
	}
	_ = g.Wait()
	return errs
}

// Whatever the order of the platform's calls and whichever answers are lost,
// each operator is told the truth and the history is one chain.
func TestAcceptTellsTheTruth(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFake()
		plain := f.registry(false)
		for round := range rapid.IntRange(1, 3).Draw(t, "rounds") {
			var ids []string
			for n := range rapid.IntRange(2, 4).Draw(t, "operators") {
				ids = append(ids, proposed(t, plain, 10*round+n))
			}
			// An operator may send the same accept twice.
			ids = append(ids, ids[0])
			errs := schedule(t, f, ids)
			_, changes, err := plain.History(context.Background(), 0)
			if err != nil {
				t.Fatal(err)
			}
			checkTruth(t, ids, errs, changes)
		}
	})
}

func checkTruth(t *rapid.T, ids []string, errs []error, changes []*sycapb.Change) {
	in := map[string]bool{}
	for i, c := range changes {
		in[c.Id] = true
		if want := uint64(len(changes) - i - 1); c.BaseRevision != want {
			t.Fatalf("change %d of the history has base %d, want %d", i, c.BaseRevision, want)
		}
	}
	for i, id := range ids {
		var conflict *policy.ConflictError
		switch {
		case errs[i] == nil && !in[id]:
			t.Fatalf("%s was called accepted and is not in the history", id)
		case errors.As(errs[i], &conflict) && (in[id] || !in[conflict.AcceptedID]):
			t.Fatalf("%s was called a conflict with %s", id, conflict.AcceptedID)
		}
	}
}

func TestReviewRules(t *testing.T) {
	f := newFake()
	r := f.registry(false)
	ctx := context.Background()
	c, err := r.Propose(ctx, "anna", "", good)
	if err != nil {
		t.Fatal(err)
	}
	refused := func(name string, err error) {
		t.Helper()
		var bad *policy.RejectedError
		if !errors.As(err, &bad) {
			t.Errorf("%s: %v", name, err)
		}
	}
	_, err = r.Accept(ctx, c.Id)
	refused("accept without review", err)
	_, err = r.Review(ctx, c.Id, &sycapb.Review{Author: "anna", Text: "fine", Approve: true})
	refused("own review", err)
	_, err = r.Review(ctx, c.Id, &sycapb.Review{Author: "bent", Approve: true})
	refused("review without text", err)
	if _, err = r.Review(ctx, c.Id, &sycapb.Review{Author: "bent", Text: "no"}); err != nil {
		t.Fatal(err)
	}
	_, err = r.Accept(ctx, c.Id)
	refused("accept of a rejected change", err)
	_, err = r.Accept(ctx, "nothing")
	refused("accept of an unknown change", err)
	_, err = r.Propose(ctx, "anna", "", "[method x.y]\nclass = none\n")
	var line *policy.LineError
	if !errors.As(err, &line) || line.Line != 2 {
		t.Errorf("bad policy: %v", err)
	}
}

func TestPlatformThatCameBackOlderIsRefused(t *testing.T) {
	f := newFake()
	r := f.registry(false)
	ctx := context.Background()
	if _, err := r.Accept(ctx, proposed(t, r, 1)); err != nil {
		t.Fatal(err)
	}
	backup := f.item(policy.HeadKey)
	second := proposed(t, r, 2)
	if _, err := r.Accept(ctx, second); err != nil {
		t.Fatal(err)
	}
	third := proposed(t, r, 3)
	f.items[policy.HeadKey] = store.Item{Key: policy.HeadKey, Value: backup.Value, Revision: 1000}
	_, err := r.Accept(ctx, third)
	var bad *policy.RejectedError
	if !errors.As(err, &bad) {
		t.Fatalf("accept on an older head: %v", err)
	}
}
