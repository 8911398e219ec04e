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
)

const (
	// callLatency is the time of a call to the platform.
	callLatency = 4 * time.Millisecond
	// writeCalls is the number of calls that a seed costs: a lease and a put.
	writeCalls = 2
	perZone    = 3
)

var errUnavailable = errors.New("down")

// simulation is a fleet in virtual time: a platform that keeps seeds, and groups of
// daemons that know each other.
type simulation struct {
	mu          sync.Mutex
	seeds       map[netip.AddrPort]bool
	unavailable bool
	// fullCost, tenth are the calls of each price; lost those while the platform was down.
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

// call counts a call and takes its time.
func (w *simulation) call(price *int) error {
	time.Sleep(callLatency)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.unavailable {
		w.failedCalls++
		return errUnavailable
	}
	*price++
	return nil
}

func (w *simulation) start(g *errgroup.Group, n, zones int, first bool) *daemon {
	d := &daemon{sim: w, addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}), 7), zone: n % zones}
	d.group = &group{members: map[*daemon]bool{d: true}}
	w.mu.Lock()
	w.daemons[d.addr] = d
	w.mu.Unlock()
	log := logrus.New()
	log.SetOutput(io.Discard)
	f := seed.New(seed.Config{
		Bootstrap: first, SeedsPerZone: perZone,
		ZoneRank: d.rank, MemberCount: d.members,
		KnownAddrs: func() []netip.AddrPort { return nil },
		ListSeeds:  d.list, RenewSeed: d.renew, Join: d.join,
		OnReady: func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if d.readyAt.IsZero() {
				d.readyAt = time.Now()
			}
		},
		Leaving: func() bool { return false },
		Sleep:   sleep,
		Jitter:  func(most time.Duration) time.Duration { return rand.N(most) },
		Now:     time.Now,
		Log:     logrus.NewEntry(log),
	})
	ctx, stop := context.WithCancel(context.Background())
	d.stop = stop
	g.Go(func() error { return f.Join(ctx) })
	g.Go(func() error { return f.MaintainSeed(ctx) })
	return d
}

// readyAfter returns how long after began the daemon took work, and whether it did.
func (d *daemon) readyAfter(began time.Time) (time.Duration, bool) {
	d.sim.mu.Lock()
	defer d.sim.mu.Unlock()
	return d.readyAt.Sub(began), !d.readyAt.IsZero()
}

// kill takes the daemon out of its group, as a kill does.
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

func (d *daemon) members() int {
	d.sim.mu.Lock()
	defer d.sim.mu.Unlock()
	return len(d.group.members) - 1
}

func (d *daemon) list(_ context.Context, stale bool) ([]netip.AddrPort, error) {
	price := &d.sim.fullCost
	if stale {
		price = &d.sim.tenthCost
	}
	if err := d.sim.call(price); err != nil {
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

func (d *daemon) renew(_ context.Context, lease uint64) (uint64, error) {
	if lease != 0 {
		return lease, d.sim.call(&d.sim.tenthCost)
	}
	for range writeCalls {
		if err := d.sim.call(&d.sim.fullCost); err != nil {
			return 0, err
		}
	}
	d.sim.mu.Lock()
	defer d.sim.mu.Unlock()
	d.sim.seeds[d.addr] = true
	return 1, nil
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

func (w *simulation) merge(a, b *group) {
	if a == b {
		return
	}
	for m := range b.members {
		a.members[m] = true
		m.group = a
	}
}

// groupSizes returns the sizes of the groups.
func (w *simulation) groupSizes() []int {
	w.mu.Lock()
	defer w.mu.Unlock()
	sizes := map[*group]int{}
	for _, d := range w.daemons {
		sizes[d.group]++
	}
	var list []int
	for _, n := range sizes {
		list = append(list, n)
	}
	slices.Sort(list)
	return list
}

func (w *simulation) cost() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return float64(w.fullCost) + float64(w.tenthCost)/10
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

// simulate runs a scenario in virtual time and ends all daemons after it.
func simulate(t *testing.T, f func(t *testing.T, w *simulation, g *errgroup.Group)) {
	synctest.Test(t, func(t *testing.T) {
		w := newSimulation()
		var g errgroup.Group
		f(t, w, &g)
		w.mu.Lock()
		all := w.daemons
		w.mu.Unlock()
		for _, d := range all {
			d.stop()
		}
		if err := g.Wait(); err != nil {
			t.Error(err)
		}
	})
}

// A fleet starts for the first time, all daemons within 0.3 s. Before, each
// wrote a seed: 6.5 calls a daemon.
func TestFirstStartCostsFewCalls(t *testing.T) {
	for _, n := range []int{1, 2, 14, 100, 300} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			simulate(t, func(t *testing.T, w *simulation, g *errgroup.Group) {
				const zones = 5
				var all []*daemon
				began := time.Now()
				for i := range n {
					all = append(all, w.start(g, i, zones, true))
					time.Sleep(300 * time.Millisecond / time.Duration(n))
				}
				time.Sleep(3 * time.Second)
				if got := w.groupSizes(); len(got) != 1 {
					t.Errorf("groups of %v", got)
				}
				for _, d := range all {
					if took, ok := d.readyAfter(began); !ok || took > 2500*time.Millisecond {
						t.Errorf("%s took work after %s", d.addr, took)
					}
				}
				// A list by each daemon, two by those that began alone, and the seeds.
				if most := 1.25*float64(n) + 40 + writeCalls*perZone*zones; w.cost() > most {
					t.Errorf("%d daemons cost %.1f calls, more than %.1f", n, w.cost(), most)
				}
			})
		})
	}
}

// Daemons that are restarted one after the other read a stale list each.
func TestRollingRestartCostsATenthADaemon(t *testing.T) {
	for _, n := range []int{100, 300} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			simulate(t, func(t *testing.T, w *simulation, g *errgroup.Group) {
				const zones = 5
				var all []*daemon
				for i := range n {
					all = append(all, w.start(g, i, zones, true))
				}
				time.Sleep(5 * time.Second)
				before := w.cost()
				for i := range all {
					all[i].kill()
					time.Sleep(50 * time.Millisecond)
					all[i] = w.start(g, i, zones, false)
					time.Sleep(50 * time.Millisecond)
				}
				time.Sleep(3 * time.Second)
				if got := w.groupSizes(); len(got) != 1 {
					t.Errorf("groups of %v", got)
				}
				renewals := float64(perZone*zones) / 10 / 10 * (float64(n)*0.1 + 3)
				if cost, most := w.cost()-before, float64(n)/10+writeCalls*perZone*zones+2*renewals+10; cost > most {
					t.Errorf("%d restarts cost %.1f calls, more than %.1f", n, cost, most)
				}
			})
		})
	}
}

// All daemons are lost at once and come back; the seeds are still there.
func TestAllComeBackAtOnce(t *testing.T) {
	simulate(t, func(t *testing.T, w *simulation, g *errgroup.Group) {
		const n, zones = 100, 5
		var all []*daemon
		for i := range n {
			all = append(all, w.start(g, i, zones, true))
		}
		time.Sleep(5 * time.Second)
		for _, d := range all {
			d.kill()
		}
		before := w.cost()
		began := time.Now()
		for i := range n {
			all[i] = w.start(g, i, zones, false)
		}
		time.Sleep(3 * time.Second)
		for _, d := range all {
			if took, ok := d.readyAfter(began); !ok || took > 300*time.Millisecond {
				t.Errorf("%s took work after %s", d.addr, took)
			}
		}
		if got := w.groupSizes(); len(got) != 1 {
			t.Errorf("groups of %v", got)
		}
		if cost, most := w.cost()-before, 0.2*n+writeCalls*perZone*zones+20; cost > float64(most) {
			t.Errorf("cost %.1f calls, more than %.1f", cost, float64(most))
		}
	})
}

// The platform is away while the fleet starts: daemons take work after the
// grace, and find each other when it returns.
func TestStartWithoutThePlatform(t *testing.T) {
	simulate(t, func(t *testing.T, w *simulation, g *errgroup.Group) {
		const n, zones = 100, 5
		w.unavailable = true
		var all []*daemon
		began := time.Now()
		for i := range n {
			all = append(all, w.start(g, i, zones, false))
		}
		time.Sleep(5 * time.Second)
		for _, d := range all {
			if took, ok := d.readyAfter(began); !ok || took > seed.JoinTimeout+time.Second {
				t.Errorf("%s took work after %s", d.addr, took)
			}
		}
		w.mu.Lock()
		w.unavailable = false
		w.mu.Unlock()
		time.Sleep(4 * time.Second)
		if got := w.groupSizes(); len(got) != 1 {
			t.Errorf("groups of %v", got)
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		if most := n * 16; w.failedCalls > most {
			t.Errorf("%d calls while the platform was away, more than %d", w.failedCalls, most)
		}
	})
}
