// Package load generates an open-loop load of actions and verifies every response.
//
// A Generator starts actions as a Poisson process with a given rate, independent
// of the completion of earlier ones. Each action has a unique ID. The response of
// a simulated backend server contains that ID, the method and a digest of the
// request, which exposes truncated responses and those of another action. A
// Recorder counts the outcomes by kind and start time.
//
//	g := load.New(load.Config{Client: client, Kinds: kinds, Rate: rate, Duration: time.Minute, Seed: 1})
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
	// Name is the label by which Recorder selects kinds.
	Name            string
	Service, Method string
	// Weight is the relative frequency of this kind.
	Weight        float64
	NonIdempotent bool
	// UseIdempotencyKey selects an idempotency key instead of a ticket.
	UseIdempotencyKey bool
	// Timeout is the timeout of each action.
	Timeout time.Duration
}

// Config configures a Generator.
type Config struct {
	Client *caller.Client
	Kinds  []Kind
	// Rate returns the rate in actions per second at an offset from the start.
	Rate func(time.Duration) float64
	// Duration is how long actions are started.
	Duration time.Duration
	// Seed makes the start times and the mix reproducible.
	Seed uint64
	// BodySize is the size of each request body in bytes.
	BodySize int
}

// Generator starts actions and records their outcomes.
type Generator struct {
	cfg Config
	rng *rand.Rand
	rec *Recorder
}

// New returns a generator.
func New(cfg Config) *Generator {
	return &Generator{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)), rec: NewRecorder(cfg.Kinds)}
}

// Recorder returns the recorder of the outcomes so far.
func (g *Generator) Recorder() *Recorder {
	return g.rec
}

// Run starts actions until Config.Duration has passed or ctx ends, and waits until
// all of them have completed.
func (g *Generator) Run(ctx context.Context) *Recorder {
	var group errgroup.Group
	start := time.Now()
	next := start
	for {
		offset := next.Sub(start)
		if offset >= g.cfg.Duration || ctx.Err() != nil {
			break
		}
		next = next.Add(g.nextInterval(offset))
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

// nextInterval draws the time to the next start.
func (g *Generator) nextInterval(offset time.Duration) time.Duration {
	const idle = 10 * time.Millisecond
	rate := g.cfg.Rate(offset)
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

func (g *Generator) runAction(ctx context.Context, kind int, id action.ID, offset time.Duration) {
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
	g.rec.add(kind, offset, time.Since(start), res, checkResponse(k, id, body, res))
}

// ResponseError reports a response that is truncated or belongs to another request.
type ResponseError struct {
	ID   action.ID
	Got  string
	Want string
}

func (e *ResponseError) Error() string {
	return fmt.Sprintf("action %s: response %q, want prefix %q and suffix %q", e.ID, e.Got, e.Want, responseSuffix)
}

// responseSuffix ends every complete response of a simulated backend server.
const responseSuffix = "|end"

// checkResponse compares a successful result with the response that the simulated
// backend server must return.
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
