package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"syscall"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"sycamorespread.dev/caller"
	"sycamorespread.dev/sycapb"
)

// faultKind is one kind of fault of the randomised run.
type faultKind int

const (
	killDaemon faultKind = iota
	killServer
	freezeDaemon
	cutZone
	storeDown
	storeSlow
	loseAnswers
	operatorRace
	restartDaemon
	poisonRequest
	slowDeep
	numFaults
)

// String returns the name of the fault in the log.
func (k faultKind) String() string {
	return [...]string{
		"kill-daemon", "kill-server", "freeze-daemon", "cut-zone", "store-down", "store-slow",
		"lose-answers", "operator-race", "restart-daemon", "poison-request", "slow-deep",
	}[k]
}

const (
	// firstFault is when the first fault comes.
	firstFault = 3 * time.Second
	// faultGap is the mean time between two faults.
	faultGap = 1500 * time.Millisecond
	// quietEnd is the time without new faults before the end.
	quietEnd = 12 * time.Second
	// healWait is how long the news of one side of a healed cut may take to the other.
	healWait = 3 * time.Second
	// poisonSends is how often the caller of a poison request sends it.
	poisonSends = 6
)

// fault is one entry of a schedule.
type fault struct {
	at     time.Duration
	kind   faultKind
	target int
	length time.Duration
}

// schedule returns the faults of a run, the same for the same seed.
func schedule(seed uint64, total time.Duration, instances int) []fault {
	rng := rand.New(rand.NewPCG(seed, 0))
	var list []fault
	at := firstFault
	for at < total-quietEnd {
		k := faultKind(rng.IntN(int(numFaults)))
		list = append(list, fault{at: at, kind: k, target: rng.IntN(instances), length: k.length(rng)})
		at += faultGap/2 + time.Duration(rng.Int64N(int64(faultGap)))
	}
	return list
}

// length returns how long a fault lasts.
func (k faultKind) length(rng *rand.Rand) time.Duration {
	least, most := time.Second, 3*time.Second
	switch k {
	case freezeDaemon:
		least, most = 2*time.Second, 10*time.Second
	case cutZone, storeDown:
		least, most = 3*time.Second, 8*time.Second
	case storeSlow, slowDeep:
		least, most = 2*time.Second, 5*time.Second
	}
	return least + time.Duration(rng.Int64N(int64(most-least)))
}

// inject brings about one fault and ends it after its length.
func (p *prover) inject(ctx context.Context, f fault) error {
	i := p.c.instances[f.target]
	switch f.kind {
	case killDaemon:
		return p.killDaemon(ctx, i, f.length)
	case killServer:
		i.lockServer(func(s *process) { s.signal(syscall.SIGKILL) })
		return nil
	case freezeDaemon:
		return p.freeze(ctx, i, f.length)
	case cutZone:
		return p.cut(ctx, i.zone, f.length)
	case storeDown:
		return p.store(ctx, &sycapb.StoreFaults{Down: true}, f.length)
	case storeSlow:
		return p.store(ctx, &sycapb.StoreFaults{DelayMs: 400}, f.length)
	case loseAnswers:
		return p.store(ctx, &sycapb.StoreFaults{LoseAnswers: 5}, f.length)
	case operatorRace:
		return p.race(ctx, f)
	case restartDaemon:
		return p.restart(ctx, i)
	case poisonRequest:
		return p.poison(ctx, f)
	case slowDeep:
		return p.slow(ctx, f.length)
	case numFaults:
	}
	return nil
}

func wait(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

func (p *prover) killDaemon(ctx context.Context, i *instance, down time.Duration) error {
	if !i.busy.TryLock() {
		return nil
	}
	defer i.busy.Unlock()
	i.daemon.signal(syscall.SIGKILL)
	<-i.daemon.done
	wait(ctx, down)
	return p.c.startDaemon(i)
}

func (p *prover) freeze(ctx context.Context, i *instance, length time.Duration) error {
	if !i.busy.TryLock() {
		return nil
	}
	defer i.busy.Unlock()
	i.daemon.signal(syscall.SIGSTOP)
	wait(ctx, length)
	i.daemon.signal(syscall.SIGCONT)
	return nil
}

// restart stops a daemon gracefully and starts it again.
func (p *prover) restart(_ context.Context, i *instance) error {
	if !i.busy.TryLock() {
		return nil
	}
	defer i.busy.Unlock()
	if err := i.daemon.stop(i.id); err != nil {
		return err
	}
	return p.c.startDaemon(i)
}

func (p *prover) cut(ctx context.Context, zone string, length time.Duration) error {
	if !p.cutting.TryLock() {
		return nil
	}
	defer p.cutting.Unlock()
	var cuts []*sycapb.RelayCut
	for n := range p.c.top.zones {
		if other := p.c.top.zone(n); other != zone {
			cuts = append(cuts, &sycapb.RelayCut{A: zone, B: other})
		}
	}
	p.isCut.Store(true)
	defer p.isCut.Store(false)
	rpc := sycapb.NewRelayControlClient(http.DefaultClient, "http://"+relayAddr().String())
	if _, err := rpc.SetCuts(ctx, connect.NewRequest(&sycapb.RelayCuts{Cuts: cuts})); err != nil {
		return errors.Wrap(err, "cut")
	}
	wait(ctx, length)
	_, err := rpc.SetCuts(ctx, connect.NewRequest(&sycapb.RelayCuts{}))
	wait(ctx, healWait)
	return errors.Wrap(err, "heal")
}

func (p *prover) store(ctx context.Context, f *sycapb.StoreFaults, length time.Duration) error {
	if !p.storing.TryLock() {
		return nil
	}
	defer p.storing.Unlock()
	if _, err := p.c.faults(ctx, f); err != nil {
		return err
	}
	wait(ctx, length)
	_, err := p.c.faults(ctx, &sycapb.StoreFaults{})
	return err
}

func (p *prover) slow(ctx context.Context, length time.Duration) error {
	if !p.slowing.TryLock() {
		return nil
	}
	defer p.slowing.Unlock()
	p.surge.Store(true)
	// A backend server that is down now starts again at full speed.
	_ = p.c.slow(ctx, p.c.top.deep, surgeSlow)
	wait(ctx, length)
	_ = p.c.slow(ctx, p.c.top.deep, 1)
	p.surge.Store(false)
	return nil
}

// poison sends a request that crashes its backend server, again and again.
func (p *prover) poison(ctx context.Context, f fault) error {
	k := p.c.top.kinds[len(p.c.top.kinds)-1]
	client := p.c.client(0)
	sides := int64(1)
	for n := range poisonSends {
		if p.isCut.Load() {
			sides = 2
		}
		client.Do(ctx, caller.Request{
			Service: k.Service,
			Method:  k.Method,
			Body:    fmt.Appendf(nil, "POISON %d", f.at),
			Timeout: 2 * time.Second,
		})
		wait(ctx, time.Duration(100*(n+1))*time.Millisecond)
	}
	p.poisons.Add(1)
	p.crashesMost.Add(crashesPerPoison * sides)
	return nil
}

// race lets two operators accept different changes on the same base.
func (p *prover) race(ctx context.Context, f fault) error {
	if !p.racing.TryLock() {
		return nil
	}
	defer p.racing.Unlock()
	var ids [2]string
	for n := range ids {
		ids[n] = p.proposal(ctx, f, n)
	}
	results := make(chan accepted, len(ids))
	for n, id := range ids {
		p.g.Go(func() error {
			results <- p.accept(ctx, f, n, id)
			return nil
		})
	}
	for range ids {
		p.accepts = append(p.accepts, <-results)
	}
	return nil
}

// proposal proposes and reviews a change; an empty ID means that it failed.
func (p *prover) proposal(ctx context.Context, f fault, n int) string {
	op := p.c.operator(p.c.instances[(f.target+n)%len(p.c.instances)])
	text := fmt.Sprintf("%s; race at %s by operator %d\n", p.c.top.policy, f.at, n)
	author := fmt.Sprintf("operator-%d", n)
	r, err := op.Propose(ctx, connect.NewRequest(&sycapb.ProposeRequest{Author: author, Text: text}))
	if err != nil {
		return ""
	}
	id := r.Msg.Change.Id
	review := &sycapb.Review{Author: "reviewer", Text: "agreed", Approve: true}
	if _, err := op.Review(ctx, connect.NewRequest(&sycapb.ReviewRequest{ChangeId: id, Review: review})); err != nil {
		return ""
	}
	return id
}

// accepted is what an operator was told.
type accepted struct {
	id     string
	result sycapb.AcceptResult
	rev    uint64
	winner string
}

func (p *prover) accept(ctx context.Context, f fault, n int, id string) accepted {
	a := accepted{id: id}
	if id == "" {
		return a
	}
	op := p.c.operator(p.c.instances[(f.target+n)%len(p.c.instances)])
	r, err := op.Accept(ctx, connect.NewRequest(&sycapb.AcceptRequest{ChangeId: id, Author: "operator", WaitMs: 500}))
	if err != nil {
		// The daemon was lost: the operator knows nothing.
		a.result = sycapb.AcceptResult_ACCEPT_RESULT_UNKNOWN
		return a
	}
	a.result, a.rev, a.winner = r.Msg.Result, r.Msg.Revision, r.Msg.Winner
	return a
}
