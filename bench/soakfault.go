package main

import (
	"context"
	"fmt"
	"net/http"
	"syscall"
	"time"

	"connectrpc.com/connect"

	"sycamorespread.dev/sycapb"
)

// soakFault is one kind of fault.
type soakFault struct {
	name string
	// do brings the fault about and takes it back.
	do func(ctx context.Context, s *soak, n *soakNode, dur time.Duration)
}

// soakGap is the mean time between two faults; they overlap.
const soakGap = 1200 * time.Millisecond

// soakFaults lists all kinds.
var soakFaults = []soakFault{
	{"kill", func(ctx context.Context, s *soak, n *soakNode, dur time.Duration) {
		s.restart(ctx, n, syscall.SIGKILL, dur/4)
	}},
	{"term", func(ctx context.Context, s *soak, n *soakNode, _ time.Duration) {
		s.restart(ctx, n, syscall.SIGTERM, 0)
	}},
	{"pause", pauseDaemon},
	{"hup", func(_ context.Context, s *soak, n *soakNode, _ time.Duration) { s.signal(n, syscall.SIGHUP) }},
	{"store-down", storeFault(&sycapb.StoreFaults{Down: true})},
	{"store-slow", storeFault(&sycapb.StoreFaults{DelayMs: 500})},
	{"store-lost", storeFault(&sycapb.StoreFaults{LoseAnswers: 5})},
	{"store-cut", func(ctx context.Context, s *soak, _ *soakNode, dur time.Duration) {
		shut(ctx, s.store, doorSilent, dur)
	}},
	{"store-reset", func(ctx context.Context, s *soak, _ *soakNode, dur time.Duration) { shut(ctx, s.store, doorReset, dur) }},
	{"hop-delay", func(ctx context.Context, _ *soak, n *soakNode, dur time.Duration) {
		shut(ctx, n.hopDoor, doorDelay, dur)
	}},
	{"hop-silent", func(ctx context.Context, _ *soak, n *soakNode, dur time.Duration) {
		shut(ctx, n.hopDoor, doorSilent, dur)
	}},
	{"hop-oneway", func(ctx context.Context, _ *soak, n *soakNode, dur time.Duration) {
		shut(ctx, n.hopDoor, doorOneWay, dur)
	}},
	{"hop-reset", func(ctx context.Context, _ *soak, n *soakNode, dur time.Duration) {
		shut(ctx, n.hopDoor, doorReset, dur/8)
	}},
	{"app-reset", func(ctx context.Context, _ *soak, n *soakNode, dur time.Duration) {
		shut(ctx, n.appDoor, doorReset, dur/8)
	}},
	{"app-silent", func(ctx context.Context, _ *soak, n *soakNode, dur time.Duration) {
		shut(ctx, n.appDoor, doorSilent, dur)
	}},
	{"app-crash", crashApp},
	{"app-drain", func(ctx context.Context, _ *soak, n *soakNode, _ time.Duration) { n.server.drain(ctx) }},
	{"app-slow", slowApp},
	{"app-garble", garbleApp},
	{"policy", func(ctx context.Context, s *soak, _ *soakNode, _ time.Duration) {
		// A store that is away takes no change; the next one follows.
		_ = s.configure(ctx)
	}},
	{"all-killed", killAll},
}

// disturb brings about faults until the given time, in series and overlapping.
func (s *soak) disturb(ctx context.Context, until time.Time) error {
	for sleepFor(ctx, time.Duration(s.rnd.ExpFloat64()*float64(soakGap))) && time.Now().Before(until) {
		f := soakFaults[s.rnd.IntN(len(soakFaults))]
		n := s.nodes[s.rnd.IntN(len(s.nodes))]
		dur := 200*time.Millisecond + time.Duration(s.rnd.Int64N(int64(4*time.Second)))
		dur = max(0, min(dur, time.Until(until)))
		fmt.Printf("fault=%s at=%s for=%s\n", f.name, n.id, dur.Round(time.Millisecond))
		s.g.Go(func() error {
			f.do(ctx, s, n, dur)
			return nil
		})
	}
	return nil
}

func (s *soak) signal(n *soakNode, sig syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	// A process that has just ended is started again by its own fault.
	_ = n.daemon.cmd.Process.Signal(sig)
}

// restart ends a daemon and starts it again after a while.
func (s *soak) restart(ctx context.Context, n *soakNode, sig syscall.Signal, after time.Duration) {
	n.busy.Lock()
	defer n.busy.Unlock()
	if ctx.Err() != nil {
		return
	}
	s.signal(n, sig)
	n.mu.Lock()
	done := n.daemon.done
	n.mu.Unlock()
	select {
	case <-done:
	case <-time.After(stopWait):
		s.broke("stop", n.id, "did not end")
		s.signal(n, syscall.SIGKILL)
		<-done
	}
	sleepFor(ctx, after)
	if ctx.Err() != nil {
		return
	}
	if err := s.launch(n); err != nil {
		s.broke("start", n.id, err.Error())
	}
}

func pauseDaemon(ctx context.Context, s *soak, n *soakNode, dur time.Duration) {
	n.busy.Lock()
	defer n.busy.Unlock()
	s.signal(n, syscall.SIGSTOP)
	sleepFor(ctx, dur)
	s.signal(n, syscall.SIGCONT)
}

func killAll(ctx context.Context, s *soak, _ *soakNode, dur time.Duration) {
	for _, n := range s.nodes {
		s.g.Go(func() error {
			s.restart(ctx, n, syscall.SIGKILL, dur/4)
			return nil
		})
	}
}

// storeFault returns a fault of the store stand-in.
func storeFault(f *sycapb.StoreFaults) func(context.Context, *soak, *soakNode, time.Duration) {
	return func(ctx context.Context, s *soak, _ *soakNode, dur time.Duration) {
		control := sycapb.NewStoreControlClient(http.DefaultClient, "http://"+storeAddr().String())
		set := func(f *sycapb.StoreFaults) {
			if _, err := control.SetFaults(context.WithoutCancel(ctx), connect.NewRequest(f)); err != nil && ctx.Err() == nil {
				s.broke("store", "-", err.Error())
			}
		}
		set(f)
		sleepFor(ctx, dur)
		set(&sycapb.StoreFaults{})
	}
}

func shut(ctx context.Context, d *door, m doorMode, dur time.Duration) {
	d.set(m)
	sleepFor(ctx, dur)
	d.set(doorOpen)
}

func crashApp(ctx context.Context, _ *soak, n *soakNode, dur time.Duration) {
	n.server.life.Lock()
	defer n.server.life.Unlock()
	n.server.crash()
	sleepFor(ctx, dur/2)
	n.server.again(ctx)
}

func slowApp(ctx context.Context, _ *soak, n *soakNode, dur time.Duration) {
	n.server.slow.Store(int64(200 * time.Millisecond))
	sleepFor(ctx, dur)
	n.server.slow.Store(0)
}

func garbleApp(ctx context.Context, _ *soak, n *soakNode, dur time.Duration) {
	n.server.garble.Store(true)
	sleepFor(ctx, dur)
	n.server.garble.Store(false)
}
