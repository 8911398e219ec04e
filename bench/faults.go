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

// faultKind is a kind of fault that prove injects.
type faultKind int

const (
	killDaemon faultKind = iota
	killServer
	freezeDaemon
	partitionZone
	storeDown
	storeSlow
	loseResponses
	operatorRace
	restartDaemon
	poisonRequest
	slowBottleneck
	numFaults
)

// String returns the name of the fault in the output.
func (k faultKind) String() string {
	return [...]string{
		"kill-daemon", "kill-server", "freeze-daemon", "cut-zone", "store-down", "store-slow",
		"lose-answers", "operator-race", "restart-daemon", "poison-request", "slow-deep",
	}[k]
}

const (
	// firstFaultDelay is the time from the start of the load to the first fault.
	firstFaultDelay = 3 * time.Second
	// meanFaultInterval is the mean time between the starts of two faults.
	meanFaultInterval = 1500 * time.Millisecond
	// recoveryTime is the time without new faults at the end of a run.
	recoveryTime = 12 * time.Second
	// healDelay is how long updates may take to cross a partition after it has healed.
	healDelay = 3 * time.Second
	// poisonAttempts is the number of times that a poison request is sent.
	poisonAttempts = 6
)

// fault is one entry of a schedule.
type fault struct {
	at       time.Duration
	kind     faultKind
	target   int
	duration time.Duration
}

// schedule returns the faults of a run. The same arguments give the same faults.
func schedule(seed uint64, total time.Duration, instances int) []fault {
	rng := rand.New(rand.NewPCG(seed, 0))
	var list []fault
	at := firstFaultDelay
	for at < total-recoveryTime {
		k := faultKind(rng.IntN(int(numFaults)))
		list = append(list, fault{at: at, kind: k, target: rng.IntN(instances), duration: k.duration(rng)})
		at += meanFaultInterval/2 + time.Duration(rng.Int64N(int64(meanFaultInterval)))
	}
	return list
}

// duration returns a random duration for a fault of kind k.
func (k faultKind) duration(rng *rand.Rand) time.Duration {
	lower, upper := time.Second, 3*time.Second
	switch k {
	case freezeDaemon:
		lower, upper = 2*time.Second, 10*time.Second
	case partitionZone, storeDown:
		lower, upper = 3*time.Second, 8*time.Second
	case storeSlow, slowBottleneck:
		lower, upper = 2*time.Second, 5*time.Second
	}
	return lower + time.Duration(rng.Int64N(int64(upper-lower)))
}

// inject injects one fault and ends it after its duration.
func (p *prover) inject(ctx context.Context, f fault) error {
	i := p.c.instances[f.target]
	switch f.kind {
	case killDaemon:
		return p.killDaemon(ctx, i, f.duration)
	case killServer:
		i.withServer(func(s *process) { s.signal(syscall.SIGKILL) })
		return nil
	case freezeDaemon:
		return p.freeze(ctx, i, f.duration)
	case partitionZone:
		return p.partition(ctx, i.zone, f.duration)
	case storeDown:
		return p.injectStoreFault(ctx, &sycapb.StoreFaults{Down: true}, f.duration)
	case storeSlow:
		return p.injectStoreFault(ctx, &sycapb.StoreFaults{DelayMs: 400}, f.duration)
	case loseResponses:
		return p.injectStoreFault(ctx, &sycapb.StoreFaults{LoseAnswers: 5}, f.duration)
	case operatorRace:
		return p.raceOperators(ctx, f)
	case restartDaemon:
		return p.restart(ctx, i)
	case poisonRequest:
		return p.sendPoison(ctx, f)
	case slowBottleneck:
		return p.slowBottleneck(ctx, f.duration)
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
	if !i.faultMu.TryLock() {
		return nil
	}
	defer i.faultMu.Unlock()
	i.daemon.signal(syscall.SIGKILL)
	<-i.daemon.done
	wait(ctx, down)
	return p.c.startDaemon(i)
}

func (p *prover) freeze(ctx context.Context, i *instance, duration time.Duration) error {
	if !i.faultMu.TryLock() {
		return nil
	}
	defer i.faultMu.Unlock()
	i.daemon.signal(syscall.SIGSTOP)
	wait(ctx, duration)
	i.daemon.signal(syscall.SIGCONT)
	return nil
}

// restart stops a daemon gracefully and starts it again.
func (p *prover) restart(_ context.Context, i *instance) error {
	if !i.faultMu.TryLock() {
		return nil
	}
	defer i.faultMu.Unlock()
	if err := i.daemon.stop(i.id); err != nil {
		return err
	}
	return p.c.startDaemon(i)
}

func (p *prover) partition(ctx context.Context, zone string, duration time.Duration) error {
	if !p.partitionMu.TryLock() {
		return nil
	}
	defer p.partitionMu.Unlock()
	var cuts []*sycapb.RelayCut
	for n := range p.c.top.zones {
		if other := p.c.top.zone(n); other != zone {
			cuts = append(cuts, &sycapb.RelayCut{A: zone, B: other})
		}
	}
	p.isPartitioned.Store(true)
	defer p.isPartitioned.Store(false)
	rpc := sycapb.NewRelayControlClient(http.DefaultClient, "http://"+relayAddr().String())
	if _, err := rpc.SetCuts(ctx, connect.NewRequest(&sycapb.RelayCuts{Cuts: cuts})); err != nil {
		return errors.Wrap(err, "cut")
	}
	wait(ctx, duration)
	_, err := rpc.SetCuts(ctx, connect.NewRequest(&sycapb.RelayCuts{}))
	wait(ctx, healDelay)
	return errors.Wrap(err, "heal")
}

func (p *prover) injectStoreFault(ctx context.Context, f *sycapb.StoreFaults, duration time.Duration) error {
	if !p.storeFaultMu.TryLock() {
		return nil
	}
	defer p.storeFaultMu.Unlock()
	if _, err := p.c.setStoreFaults(ctx, f); err != nil {
		return err
	}
	wait(ctx, duration)
	_, err := p.c.setStoreFaults(ctx, &sycapb.StoreFaults{})
	return err
}

func (p *prover) slowBottleneck(ctx context.Context, duration time.Duration) error {
	if !p.slowMu.TryLock() {
		return nil
	}
	defer p.slowMu.Unlock()
	p.surge.Store(true)
	// The call fails for a backend server that is down; it restarts at full speed.
	_ = p.c.slowService(ctx, p.c.top.bottleneck, surgeSlowFactor)
	wait(ctx, duration)
	_ = p.c.slowService(ctx, p.c.top.bottleneck, 1)
	p.surge.Store(false)
	return nil
}

// sendPoison sends a request that crashes its backend server, poisonAttempts times.
func (p *prover) sendPoison(ctx context.Context, f fault) error {
	k := p.c.top.kinds[len(p.c.top.kinds)-1]
	client := p.c.client(0)
	sides := int64(1)
	for n := range poisonAttempts {
		if p.isPartitioned.Load() {
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
	p.poisonCount.Add(1)
	p.maxCrashes.Add(maxCrashesPerPoison * sides)
	return nil
}

// raceOperators lets two operators concurrently accept different changes on the same base.
func (p *prover) raceOperators(ctx context.Context, f fault) error {
	if !p.raceMu.TryLock() {
		return nil
	}
	defer p.raceMu.Unlock()
	var ids [2]string
	for n := range ids {
		ids[n] = p.proposeChange(ctx, f, n)
	}
	results := make(chan acceptResult, len(ids))
	for n, id := range ids {
		p.g.Go(func() error {
			results <- p.accept(ctx, f, n, id)
			return nil
		})
	}
	for range ids {
		p.acceptResults = append(p.acceptResults, <-results)
	}
	return nil
}

// proposeChange proposes and reviews a change and returns its ID, which is empty if a step failed.
func (p *prover) proposeChange(ctx context.Context, f fault, n int) string {
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

// acceptResult is the response to an operator's accept call.
type acceptResult struct {
	id     string
	result sycapb.AcceptResult
	rev    uint64
	winner string
}

func (p *prover) accept(ctx context.Context, f fault, n int, id string) acceptResult {
	a := acceptResult{id: id}
	if id == "" {
		return a
	}
	op := p.c.operator(p.c.instances[(f.target+n)%len(p.c.instances)])
	r, err := op.Accept(ctx, connect.NewRequest(&sycapb.AcceptRequest{ChangeId: id, Author: "operator", WaitMs: 500}))
	if err != nil {
		// The daemon did not respond, so the operator doesn't know the result.
		a.result = sycapb.AcceptResult_ACCEPT_RESULT_UNKNOWN
		return a
	}
	a.result, a.rev, a.winner = r.Msg.Result, r.Msg.Revision, r.Msg.Winner
	return a
}
