// Package load sends an open-loop load of actions and checks every answer.
//
// A Generator starts actions at random times with a given rate, whatever
// became of the earlier ones. Each action has an ID of its own, and the
// answer of a backend server stand-in names that ID, the method and the
// request, so that a partial answer or one of another action is found. A
// Recorder keeps how each action ended, by kind and by the time of its start.
//
//	g := load.New(load.Config{Client: client, Kinds: kinds, Rate: rate, Seed: 1})
//	rec := g.Run(ctx)
//	fmt.Println(rec.Sum())
package load

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"

	"sycamorespread.dev/action"
	"sycamorespread.dev/caller"
	"sycamorespread.dev/sycapb"
)

// Kind is one kind of action in the mix.
type Kind struct {
	// Name is the class that the report groups by.
	Name            string
	Service, Method string
	// Weight is the share of this kind among all, relative to the others.
	Weight        float64
	NonIdempotent bool
	// UseIdempotencyKey uses an idempotency key in place of a ticket.
	UseIdempotencyKey bool
	// Timeout bounds each action.
	Timeout time.Duration
}

// Config holds what a Generator needs.
type Config struct {
	Client *caller.Client
	Kinds  []Kind
	// Rate returns the actions per second at a time since the start.
	Rate func(time.Duration) float64
	// Duration is how long actions are started.
	Duration time.Duration
	// Seed makes the starts and the mix repeatable.
	Seed uint64
	// BodySize is the size of a request body in bytes.
	BodySize int
}

// Generator starts actions.
type Generator struct {
	cfg Config
	rng *rand.Rand
	rec *Recorder
}

// New returns a generator.
func New(cfg Config) *Generator {
	return &Generator{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)), rec: NewRecorder(cfg.Kinds)}
}

// Recorder returns the record of the actions so far.
func (g *Generator) Recorder() *Recorder {
	return g.rec
}

// Run starts actions until the duration is over or ctx ends, and waits for
// all of them.
func (g *Generator) Run(ctx context.Context) *Recorder {
	var group errgroup.Group
	start := time.Now()
	next := start
	for {
		at := next.Sub(start)
		if at >= g.cfg.Duration || ctx.Err() != nil {
			break
		}
		next = next.Add(g.nextInterval(at))
		time.Sleep(time.Until(next))
		kind := g.pickKind()
		id := g.newID()
		group.Go(func() error {
			g.runAction(ctx, kind, id, time.Since(start))
			return nil
		})
	}
	_ = group.Wait()
	return g.rec
}

// nextInterval returns the time to the next start.
func (g *Generator) nextInterval(at time.Duration) time.Duration {
	const idle = 10 * time.Millisecond
	rate := g.cfg.Rate(at)
	if rate <= 0 {
		return idle
	}
	return time.Duration(g.rng.ExpFloat64() / rate * float64(time.Second))
}

func (g *Generator) pickKind() int {
	total := 0.0
	for _, k := range g.cfg.Kinds {
		total += k.Weight
	}
	x := g.rng.Float64() * total
	for i, k := range g.cfg.Kinds {
		if x -= k.Weight; x < 0 {
			return i
		}
	}
	return len(g.cfg.Kinds) - 1
}

func (g *Generator) newID() action.ID {
	var id action.ID
	for i := range id {
		id[i] = byte(g.rng.Uint32())
	}
	return id
}

func (g *Generator) runAction(ctx context.Context, kind int, id action.ID, at time.Duration) {
	k := g.cfg.Kinds[kind]
	body := bytes.Repeat([]byte{'x'}, max(0, g.cfg.BodySize-2*action.IDSize))
	body = append([]byte(id.String()), body...)
	key := ""
	if k.UseIdempotencyKey {
		key = id.String()
	}
	start := time.Now()
	res := g.cfg.Client.Do(ctx, caller.Request{
		ID:             id,
		Service:        k.Service,
		Method:         k.Method,
		Body:           body,
		NonIdempotent:  k.NonIdempotent,
		IdempotencyKey: key,
		Timeout:        k.Timeout,
	})
	g.rec.add(kind, at, time.Since(start), res, checkResponse(k, id, body, res))
}

// ResponseError reports an answer that is not the whole answer to its request.
type ResponseError struct {
	ID   action.ID
	Got  string
	Want string
}

func (e *ResponseError) Error() string {
	return fmt.Sprintf("action %s: answer %q, want it to begin with %q and end with %q", e.ID, e.Got, e.Want, responseSuffix)
}

// responseSuffix closes every whole answer of the stand-in.
const responseSuffix = "|end"

// checkResponse compares a done result with what the stand-in must answer.
func checkResponse(k Kind, id action.ID, body []byte, res *caller.Result) error {
	if res.Outcome != sycapb.Outcome_OUTCOME_DONE {
		return nil
	}
	want := fmt.Sprintf("%s.%s|%s|%x", k.Service, k.Method, id, action.Digest(body))
	complete := bytes.HasPrefix(res.Body, []byte(want)) && bytes.HasSuffix(res.Body, []byte(responseSuffix))
	if !complete {
		return &ResponseError{ID: id, Got: string(res.Body), Want: want}
	}
	return nil
}
