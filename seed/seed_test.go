package seed_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"sycamorespread.dev/seed"
	"sycamorespread.dev/store"
)

const (
	// callLatency is the duration of a call to the platform.
	callLatency = 4 * time.Millisecond
	// writeCalls is the number of calls to write a seed: a lease and a put.
	writeCalls = 2
	perZone    = 3
)

var errUnavailable = errors.New("down")

// simulation simulates a fleet in virtual time: a platform that stores seeds, and
// groups of daemons that know each other.
type simulation struct {
	mu          sync.Mutex
	seeds       map[netip.AddrPort]bool
	unavailable bool
	// fullCost and tenthCost count the calls by cost, failedCalls those while the platform was unavailable.
	fullCost, tenthCost, failedCalls int
	daemons                          map[netip.AddrPort]*daemon
}

type daemon struct {
	sim     *simulation
	addr    netip.AddrPort
	zone    int
	group   *group
	readyAt time.Time
	stop    context.CancelFunc
}

// group is the set of daemons that know each other.
type group struct {
	members map[*daemon]bool
}

func newSimulation() *simulation {
	return &simulation{seeds: map[netip.AddrPort]bool{}, daemons: map[netip.AddrPort]*daemon{}}
}

// call simulates a call to the platform and counts it.
func (s *simulation) call(cost *int) error {
	time.Sleep(callLatency)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailable {
		s.failedCalls++
		return errUnavailable
	}
	*cost++
	return nil
}

func (s *simulation) start(g *errgroup.Group, n, zones int, bootstrap bool) *daemon {
	d := &daemon{sim: s, addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}), 7), zone: n % zones}
	d.group = &group{members: map[*daemon]bool{d: true}}
	s.mu.Lock()
	s.daemons[d.addr] = d
	s.mu.Unlock()
	log := logrus.New()
	log.SetOutput(io.Discard)
	f := seed.New(seed.Config{
		Bootstrap: bootstrap, SeedsPerZone: perZone,
		ZoneRank: d.rank, ZoneSize: d.zoneSize, MemberCount: d.members, IsLive: d.isLive,
		KnownAddrs: func() []netip.AddrPort { return nil },
		ListSeeds:  d.list, RenewSeed: d.renew, Join: d.join,
		OnReady: func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			if d.readyAt.IsZero() {
				d.readyAt = time.Now()
			}
		},
		Leaving: func() bool { return false },
		Sleep:   sleep,
		Jitter:  func(limit time.Duration) time.Duration { return rand.N(limit) },
		Now:     time.Now,
		Log:     logrus.NewEntry(log),
	})
	ctx, stop := context.WithCancel(context.Background())
	d.stop = stop
	g.Go(func() error { return f.Join(ctx) })
	g.Go(func() error { return f.MaintainSeed(ctx) })
	return d
}

// readyAfter returns the time from start until the daemon accepted work, and
// whether it did.
func (d *daemon) readyAfter(start time.Time) (time.Duration, bool) {
	d.sim.mu.Lock()
	defer d.sim.mu.Unlock()
	return d.readyAt.Sub(start), !d.readyAt.IsZero()
}

// kill stops the daemon and removes it from its group.
func (d *daemon) kill() {
	d.stop()
	d.sim.mu.Lock()
	defer d.sim.mu.Unlock()
	delete(d.group.members, d)
	delete(d.sim.daemons, d.addr)
}

func (d *daemon) rank() int {
	d.sim.mu.Lock()
	defer d.sim.mu.Unlock()
	n := 0
	for m := range d.group.members {
		if m.zone == d.zone && m.addr.Compare(d.addr) < 0 {
			n++
		}
	}
	return n
}

func (d *daemon) zoneSize() int {
	d.sim.mu.Lock()
	defer d.sim.mu.Unlock()
	n := 0
	for m := range d.group.members {
		if m.zone == d.zone {
			n++
		}
	}
	return n
}

func (d *daemon) isLive(addr netip.AddrPort) bool {
	d.sim.mu.Lock()
	defer d.sim.mu.Unlock()
	return d.group.members[d.sim.daemons[addr]]
}

func (d *daemon) members() int {
	d.sim.mu.Lock()
	defer d.sim.mu.Unlock()
	return len(d.group.members) - 1
}

func (d *daemon) list(_ context.Context, stale bool) ([]netip.AddrPort, error) {
	cost := &d.sim.fullCost
	if stale {
		cost = &d.sim.tenthCost
	}
	if err := d.sim.call(cost); err != nil {
		return nil, err
	}
	d.sim.mu.Lock()
	defer d.sim.mu.Unlock()
	var list []netip.AddrPort
	for a := range d.sim.seeds {
		if a != d.addr {
			list = append(list, a)
		}
	}
	return list, nil
}

func (d *daemon) renew(_ context.Context, lease store.Lease) (store.Lease, error) {
	if lease.ID != 0 {
		return lease, d.sim.call(&d.sim.tenthCost)
	}
	for range writeCalls {
		if err := d.sim.call(&d.sim.fullCost); err != nil {
			return store.Lease{}, err
		}
	}
	d.sim.mu.Lock()
	defer d.sim.mu.Unlock()
	d.sim.seeds[d.addr] = true
	return store.Lease{ID: 1}, nil
}

func (d *daemon) join(_ context.Context, addrs []netip.AddrPort) bool {
	time.Sleep(3 * time.Millisecond)
	d.sim.mu.Lock()
	defer d.sim.mu.Unlock()
	ok := false
	for _, a := range addrs {
		other := d.sim.daemons[a]
		if other == nil {
			continue
		}
		ok = true
		d.sim.merge(d.group, other.group)
	}
	return ok
}

func (s *simulation) merge(a, b *group) {
	if a == b {
		return
	}
	for m := range b.members {
		a.members[m] = true
		m.group = a
	}
}

func (s *simulation) groupSizes() []int {
	s.mu.Lock()
	defer s.mu.Unlock()
	sizes := map[*group]int{}
	for _, d := range s.daemons {
		sizes[d.group]++
	}
	var list []int
	for _, n := range sizes {
		list = append(list, n)
	}
	slices.Sort(list)
	return list
}

func (s *simulation) totalCost() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return float64(s.fullCost) + float64(s.tenthCost)/10
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// simulate runs a scenario in virtual time and then stops all daemons.
func simulate(t *testing.T, f func(t *testing.T, s *simulation, g *errgroup.Group)) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimulation()
		var g errgroup.Group
		f(t, s, &g)
		s.mu.Lock()
		daemons := s.daemons
		s.mu.Unlock()
		for _, d := range daemons {
			d.stop()
		}
		if err := g.Wait(); err != nil {
			t.Error(err)
		}
	})
}

// A fleet starts for the first time, all daemons within 0.3 s. If every daemon
// wrote a seed, this would cost 6.5 platform calls per daemon.
func TestBootstrapCost(t *testing.T) {
	for _, n := range []int{1, 2, 14, 100, 300} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			simulate(t, func(t *testing.T, s *simulation, g *errgroup.Group) {
				const zones = 5
				var daemons []*daemon
				start := time.Now()
				for i := range n {
					daemons = append(daemons, s.start(g, i, zones, true))
					time.Sleep(300 * time.Millisecond / time.Duration(n))
				}
				time.Sleep(3 * time.Second)
				if got := s.groupSizes(); len(got) != 1 {
					t.Errorf("groups of sizes %v, want one group", got)
				}
				for _, d := range daemons {
					if elapsed, ok := d.readyAfter(start); !ok || elapsed > 2500*time.Millisecond {
						t.Errorf("%s accepted work after %s", d.addr, elapsed)
					}
				}
				// Each daemon lists the seeds once, those that found none twice, and some write seeds.
				if limit := 1.25*float64(n) + 40 + writeCalls*perZone*zones; s.totalCost() > limit {
					t.Errorf("%d daemons cost %.1f calls, limit %.1f", n, s.totalCost(), limit)
				}
			})
		})
	}
}

// Each daemon of a rolling restart reads a stale list, which costs a tenth of a call.
func TestRollingRestartCost(t *testing.T) {
	for _, n := range []int{100, 300} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			simulate(t, func(t *testing.T, s *simulation, g *errgroup.Group) {
				const zones = 5
				var daemons []*daemon
				for i := range n {
					daemons = append(daemons, s.start(g, i, zones, true))
				}
				time.Sleep(5 * time.Second)
				before := s.totalCost()
				for i := range daemons {
					daemons[i].kill()
					time.Sleep(50 * time.Millisecond)
					daemons[i] = s.start(g, i, zones, false)
					time.Sleep(50 * time.Millisecond)
				}
				time.Sleep(3 * time.Second)
				if got := s.groupSizes(); len(got) != 1 {
					t.Errorf("groups of sizes %v, want one group", got)
				}
				renewals := float64(perZone*zones) / 10 / 10 * (float64(n)*0.1 + 3)
				if cost, limit := s.totalCost()-before, float64(n)/10+writeCalls*perZone*zones+2*renewals+10; cost > limit {
					t.Errorf("%d restarts cost %.1f calls, limit %.1f", n, cost, limit)
				}
			})
		})
	}
}

// Scans for unknown daemons must not cost more with more daemons.
func TestScansCostMoreInALargerFleet(t *testing.T) {
	for _, n := range []int{15, 100, 300} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			simulate(t, func(t *testing.T, s *simulation, g *errgroup.Group) {
				const zones, minutes = 5, 2
				for i := range n {
					s.start(g, i, zones, true)
				}
				time.Sleep(10 * time.Second)
				before := s.totalCost()
				time.Sleep(minutes * time.Minute)
				// A stale list costs a tenth, and so does the renewal of a seed; 3 s and 10 s are their intervals.
				expected := float64(zones*minutes*20+perZone*zones*minutes*6) / 10
				if cost := s.totalCost() - before; cost > 1.5*expected {
					t.Errorf("%d daemons cost %.1f calls, expected %.1f", n, cost, expected)
				}
			})
		})
	}
}

// All daemons are killed at once and restart while their seeds are still stored.
func TestRestartOfWholeFleet(t *testing.T) {
	simulate(t, func(t *testing.T, s *simulation, g *errgroup.Group) {
		const n, zones = 100, 5
		var daemons []*daemon
		for i := range n {
			daemons = append(daemons, s.start(g, i, zones, true))
		}
		time.Sleep(5 * time.Second)
		for _, d := range daemons {
			d.kill()
		}
		before := s.totalCost()
		start := time.Now()
		for i := range n {
			daemons[i] = s.start(g, i, zones, false)
		}
		time.Sleep(3 * time.Second)
		for _, d := range daemons {
			if elapsed, ok := d.readyAfter(start); !ok || elapsed > 300*time.Millisecond {
				t.Errorf("%s accepted work after %s", d.addr, elapsed)
			}
		}
		if got := s.groupSizes(); len(got) != 1 {
			t.Errorf("groups of sizes %v, want one group", got)
		}
		if cost, limit := s.totalCost()-before, 0.2*n+writeCalls*perZone*zones+20; cost > float64(limit) {
			t.Errorf("cost %.1f calls, limit %.1f", cost, float64(limit))
		}
	})
}

// The platform is unavailable while the fleet starts: the daemons accept work
// after JoinTimeout, and find each other once the platform is available.
func TestStartWhilePlatformIsUnavailable(t *testing.T) {
	simulate(t, func(t *testing.T, s *simulation, g *errgroup.Group) {
		const n, zones = 100, 5
		s.unavailable = true
		var daemons []*daemon
		start := time.Now()
		for i := range n {
			daemons = append(daemons, s.start(g, i, zones, false))
		}
		time.Sleep(5 * time.Second)
		for _, d := range daemons {
			if elapsed, ok := d.readyAfter(start); !ok || elapsed > seed.JoinTimeout+time.Second {
				t.Errorf("%s accepted work after %s", d.addr, elapsed)
			}
		}
		s.mu.Lock()
		s.unavailable = false
		s.mu.Unlock()
		time.Sleep(4 * time.Second)
		if got := s.groupSizes(); len(got) != 1 {
			t.Errorf("groups of sizes %v, want one group", got)
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		if limit := n * 16; s.failedCalls > limit {
			t.Errorf("%d calls while the platform was unavailable, limit %d", s.failedCalls, limit)
		}
	})
}
