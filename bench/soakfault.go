package main

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"connectrpc.com/connect"
	"golang.org/x/sync/errgroup"

	"sycamorespread.dev/sycapb"
)

// soakFault is one kind of fault.
type soakFault struct {
	name string
	// inject injects the fault into an instance and ends it after dur.
	inject func(ctx context.Context, s *soak, n *soakInstance, dur time.Duration)
}

// soakFaultInterval is the mean time between the starts of two faults, which may overlap.
const soakFaultInterval = 1200 * time.Millisecond

// soakFaults lists all kinds of faults by their names in the output.
var soakFaults = []soakFault{
	{"kill", func(ctx context.Context, s *soak, n *soakInstance, dur time.Duration) {
		s.restart(ctx, n, syscall.SIGKILL, dur/4)
	}},
	{"term", func(ctx context.Context, s *soak, n *soakInstance, _ time.Duration) {
		s.restart(ctx, n, syscall.SIGTERM, 0)
	}},
	{"pause", pauseDaemon},
	{"hup", func(_ context.Context, s *soak, n *soakInstance, _ time.Duration) { s.signal(n, syscall.SIGHUP) }},
	{"store-down", storeFault(&sycapb.StoreFaults{Down: true})},
	{"store-slow", storeFault(&sycapb.StoreFaults{DelayMs: 500})},
	{"store-lost", storeFault(&sycapb.StoreFaults{LoseAnswers: 5})},
	{"store-cut", func(ctx context.Context, s *soak, _ *soakInstance, dur time.Duration) {
		setModeFor(ctx, s.storeProxy, proxyStall, dur)
	}},
	{"store-reset", func(ctx context.Context, s *soak, _ *soakInstance, dur time.Duration) {
		setModeFor(ctx, s.storeProxy, proxyReset, dur)
	}},
	{"hop-delay", func(ctx context.Context, _ *soak, n *soakInstance, dur time.Duration) {
		setModeFor(ctx, n.inboundProxy, proxyDelay, dur)
	}},
	{"hop-silent", func(ctx context.Context, _ *soak, n *soakInstance, dur time.Duration) {
		setModeFor(ctx, n.inboundProxy, proxyStall, dur)
	}},
	{"hop-oneway", func(ctx context.Context, _ *soak, n *soakInstance, dur time.Duration) {
		setModeFor(ctx, n.inboundProxy, proxyStallResponses, dur)
	}},
	{"hop-reset", func(ctx context.Context, _ *soak, n *soakInstance, dur time.Duration) {
		setModeFor(ctx, n.inboundProxy, proxyReset, dur/8)
	}},
	{"app-reset", func(ctx context.Context, _ *soak, n *soakInstance, dur time.Duration) {
		setModeFor(ctx, n.serverProxy, proxyReset, dur/8)
	}},
	{"app-silent", func(ctx context.Context, _ *soak, n *soakInstance, dur time.Duration) {
		setModeFor(ctx, n.serverProxy, proxyStall, dur)
	}},
	{"app-crash", crashServer},
	{"app-drain", func(ctx context.Context, _ *soak, n *soakInstance, _ time.Duration) { n.server.drain(ctx) }},
	{"store-mute", func(_ context.Context, s *soak, _ *soakInstance, _ time.Duration) { s.storeProxy.mute() }},
	{"hop-mute", func(_ context.Context, _ *soak, n *soakInstance, _ time.Duration) { n.inboundProxy.mute() }},
	{"app-mute", func(_ context.Context, _ *soak, n *soakInstance, _ time.Duration) { n.serverProxy.mute() }},
	{"app-limit", limitServer},
	{"app-slow", slowServer},
	{"app-garble", corruptResponses},
	{"policy", func(ctx context.Context, s *soak, _ *soakInstance, _ time.Duration) {
		// The write fails while the store is down; the next policy fault writes again.
		_ = s.writePolicy(ctx)
	}},
	{"all-killed", killAllDaemons},
}

// soakDeepFaults are further faults of a deep soak: servers whose responses are unsound, and a store
// that is restored from a copy.
var soakDeepFaults = []soakFault{
	{"app-refuse", serverFlag(func(a *soakServer) *atomic.Bool { return &a.refusing })},
	{"app-fail", serverFlag(func(a *soakServer) *atomic.Bool { return &a.failing })},
	{"app-copy", serverFlag(func(a *soakServer) *atomic.Bool { return &a.copying })},
	{"app-split", serverFlag(func(a *soakServer) *atomic.Bool { return &a.splitting })},
	{"service-unsound", makeServiceUnsound},
	{"service-unsound", makeServiceUnsound},
	{"service-unsound", makeServiceUnsound},
	{"service-unsound", makeServiceUnsound},
	{"service-unsound", makeServiceUnsound},
	{"service-unsound", makeServiceUnsound},
	{"store-restore", restoreStore},
	{"store-restore", restoreStore},
}

// restoreStore takes the store down and brings it back from a copy that is twice as old as the outage
// is long, or keeps it up. The operator then writes the policy again.
func restoreStore(ctx context.Context, s *soak, _ *soakInstance, dur time.Duration) {
	control := sycapb.NewStoreControlClient(http.DefaultClient, "http://"+storeAddr().String())
	set := func(f *sycapb.StoreFaults) {
		if _, err := control.SetFaults(context.WithoutCancel(ctx), connect.NewRequest(f)); err != nil && ctx.Err() == nil {
			s.recordViolation("store", "-", err.Error())
		}
	}
	outage := dur%2 == 0
	if outage {
		set(&sycapb.StoreFaults{Down: true})
		sleepFor(ctx, dur/2)
	}
	set(&sycapb.StoreFaults{RestoreAgeMs: max(1, dur.Milliseconds()), CutWatches: outage})
	for s.writePolicy(ctx) != nil && sleepFor(ctx, pollInterval) {
	}
}

// serverFlag returns a function that sets a flag of a server for a while.
func serverFlag(flag func(*soakServer) *atomic.Bool) func(context.Context, *soak, *soakInstance, time.Duration) {
	return func(ctx context.Context, _ *soak, n *soakInstance, dur time.Duration) {
		flag(n.server).Store(true)
		sleepFor(ctx, dur)
		flag(n.server).Store(false)
	}
}

// makeServiceUnsound makes all servers of a service refuse requests, fail some, and write responses in
// pieces and parts of earlier ones.
func makeServiceUnsound(ctx context.Context, s *soak, n *soakInstance, dur time.Duration) {
	set := func(on bool) {
		for _, other := range s.instances {
			if other.service == n.service {
				other.server.refusing.Store(on)
				other.server.failing.Store(on)
				other.server.copying.Store(on)
				other.server.splitting.Store(on)
			}
		}
	}
	set(true)
	sleepFor(ctx, dur)
	set(false)
}

// injectFaults injects random faults until the given time, one after another or overlapping.
func (s *soak) injectFaults(ctx context.Context, until time.Time) error {
	for sleepFor(ctx, time.Duration(s.rng.ExpFloat64()*float64(soakFaultInterval))) && time.Now().Before(until) {
		f := s.faults[s.rng.IntN(len(s.faults))]
		n := s.instances[s.rng.IntN(len(s.instances))]
		dur := 200*time.Millisecond + time.Duration(s.rng.Int64N(int64(4*time.Second)))
		dur = max(0, min(dur, time.Until(until)))
		fmt.Printf("fault=%s at=%s for=%s\n", f.name, n.id, dur.Round(time.Millisecond))
		s.g.Go(func() error {
			defer s.recordFault(f.name, n.id)()
			f.inject(ctx, s, n, dur)
			return nil
		})
	}
	return nil
}

func (s *soak) signal(n *soakInstance, sig syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	// The process may have just exited; the fault that ended it restarts it.
	_ = n.daemon.cmd.Process.Signal(sig)
}

// restart stops a daemon by a signal and starts it again after delay.
func (s *soak) restart(ctx context.Context, n *soakInstance, sig syscall.Signal, delay time.Duration) {
	n.faultMu.Lock()
	defer n.faultMu.Unlock()
	if ctx.Err() != nil {
		return
	}
	s.signal(n, sig)
	n.mu.Lock()
	done := n.daemon.done
	n.mu.Unlock()
	select {
	case <-done:
	case <-time.After(stopTimeout):
		s.recordViolation("stop", n.id, "did not exit")
		s.signal(n, syscall.SIGKILL)
		<-done
	}
	sleepFor(ctx, delay)
	if ctx.Err() != nil {
		return
	}
	if err := s.startDaemon(n); err != nil {
		s.recordViolation("start", n.id, err.Error())
	}
}

func pauseDaemon(ctx context.Context, s *soak, n *soakInstance, dur time.Duration) {
	n.faultMu.Lock()
	defer n.faultMu.Unlock()
	defer n.disturbed()
	s.signal(n, syscall.SIGSTOP)
	sleepFor(ctx, dur)
	s.signal(n, syscall.SIGCONT)
}

func killAllDaemons(ctx context.Context, s *soak, _ *soakInstance, dur time.Duration) {
	var g errgroup.Group
	for _, n := range s.instances {
		g.Go(func() error {
			s.restart(ctx, n, syscall.SIGKILL, dur/4)
			return nil
		})
	}
	_ = g.Wait()
}

// storeFault returns a function that sets faults in the store stand-in and clears them after dur.
func storeFault(f *sycapb.StoreFaults) func(context.Context, *soak, *soakInstance, time.Duration) {
	return func(ctx context.Context, s *soak, _ *soakInstance, dur time.Duration) {
		control := sycapb.NewStoreControlClient(http.DefaultClient, "http://"+storeAddr().String())
		set := func(f *sycapb.StoreFaults) {
			if _, err := control.SetFaults(context.WithoutCancel(ctx), connect.NewRequest(f)); err != nil && ctx.Err() == nil {
				s.recordViolation("store", "-", err.Error())
			}
		}
		set(f)
		sleepFor(ctx, dur)
		set(&sycapb.StoreFaults{})
	}
}

func setModeFor(ctx context.Context, d *faultProxy, m proxyMode, dur time.Duration) {
	d.setMode(m)
	sleepFor(ctx, dur)
	d.setMode(proxyForward)
}

func crashServer(ctx context.Context, _ *soak, n *soakInstance, dur time.Duration) {
	n.server.lifecycleMu.Lock()
	defer n.server.lifecycleMu.Unlock()
	n.server.crash()
	sleepFor(ctx, dur/2)
	n.server.restart(ctx)
}

// limitServer makes a server name a limit for longer than the time in which it takes effect.
func limitServer(ctx context.Context, _ *soak, n *soakInstance, dur time.Duration) {
	n.server.statements.name(soakLimit)
	sleepFor(ctx, dur+2*limitSpan)
	n.server.statements.name(0)
}

func slowServer(ctx context.Context, _ *soak, n *soakInstance, dur time.Duration) {
	n.server.extraDelay.Store(int64(200 * time.Millisecond))
	sleepFor(ctx, dur)
	n.server.extraDelay.Store(0)
}

func corruptResponses(ctx context.Context, _ *soak, n *soakInstance, dur time.Duration) {
	n.server.corrupting.Store(true)
	sleepFor(ctx, dur)
	n.server.corrupting.Store(false)
}
