package seed_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"sycamorespread.dev/member"
	"sycamorespread.dev/seed"
	"sycamorespread.dev/store"
	"sycamorespread.dev/sycapb"
)

const (
	// rejoinTimeout is the time after the end of all faults in which the daemons must know each other:
	// the recover_s of the deployments.
	rejoinTimeout = 15 * time.Second
	fleetZones    = 3
	exchangeLimit = 2 * time.Second
)

var errCut = errors.New("no path")

// fleet runs member nodes and their finders in virtual time, beside a platform that stores seeds
// under leases.
type fleet struct {
	mu      sync.Mutex
	cut     map[string]bool
	noStore map[string]bool
	seeds   map[netip.AddrPort]time.Time
	daemons map[netip.AddrPort]*fleetDaemon
	starts  uint64
	group   errgroup.Group
}

// fleetDaemon is a running daemon of a fleet.
type fleetDaemon struct {
	fleet  *fleet
	id     string
	addr   netip.AddrPort
	zone   string
	node   *member.Node
	in     chan []byte
	closed chan struct{}
	stop   context.CancelFunc
}

func newFleet() *fleet {
	return &fleet{cut: map[string]bool{}, noStore: map[string]bool{}, seeds: map[netip.AddrPort]time.Time{}, daemons: map[netip.AddrPort]*fleetDaemon{}}
}

func fleetAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(i + 1)}), 7)
}

// start starts the i-th daemon, whose zone is the i-th in turn.
func (f *fleet) start(i int, bootstrap bool) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	f.mu.Lock()
	f.starts++
	d := &fleetDaemon{fleet: f, id: fmt.Sprintf("d%02d", i), addr: fleetAddr(i), zone: fmt.Sprint("z", i%fleetZones), in: make(chan []byte, 256), closed: make(chan struct{})}
	self := &sycapb.MemberEntry{Id: d.id, Incarnation: f.starts, Zone: d.zone, Region: "r", Addr: d.addr.String()}
	f.mu.Unlock()
	d.node = member.New(member.Config{Self: self, ProbeInterval: time.Second, Now: time.Now, Revision: func() uint64 { return 0 }, Exchange: d.exchange},
		member.Conn{Read: d.read, Write: d.write, Close: func() error { close(d.closed); return nil }})
	f.mu.Lock()
	f.daemons[d.addr] = d
	f.mu.Unlock()
	finder := seed.New(seed.Config{
		Bootstrap: bootstrap, SeedsPerZone: perZone,
		ZoneRank: d.rank, ZoneSize: d.zoneSize, MemberCount: d.node.Len, IsLive: d.isLive,
		KnownAddrs: d.node.UnknownSenders, ListSeeds: d.list, RenewSeed: d.renew, Join: d.node.Join,
		OnReady: func() {}, Leaving: func() bool { return false },
		Sleep: sleep, Jitter: func(limit time.Duration) time.Duration { return rand.N(limit) },
		Now: time.Now, Log: logrus.NewEntry(log),
	})
	ctx, stop := context.WithCancel(context.Background())
	d.stop = stop
	f.group.Go(func() error { return d.node.Run(ctx) })
	f.group.Go(func() error { return finder.Join(ctx) })
	f.group.Go(func() error { return finder.MaintainSeed(ctx) })
}

func (f *fleet) kill(i int) {
	f.mu.Lock()
	d := f.daemons[fleetAddr(i)]
	delete(f.daemons, fleetAddr(i))
	f.mu.Unlock()
	if d != nil {
		d.stop()
	}
}

// peer returns the daemon at to if packets pass to it.
func (d *fleetDaemon) peer(to netip.AddrPort) (*fleetDaemon, bool) {
	f := d.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	other := f.daemons[to]
	return other, other != nil && f.daemons[d.addr] == d && (other.zone == d.zone || !f.cut[other.zone] && !f.cut[d.zone])
}

func (d *fleetDaemon) read(b []byte) (int, netip.AddrPort, error) {
	select {
	case p := <-d.in:
		return copy(b, p), netip.AddrPort{}, nil
	case <-d.closed:
		return 0, netip.AddrPort{}, errCut
	}
}

func (d *fleetDaemon) write(b []byte, to netip.AddrPort) error {
	if other, ok := d.peer(to); ok {
		select {
		case other.in <- slices.Clone(b):
		default:
		}
	}
	return nil
}

func (d *fleetDaemon) exchange(ctx context.Context, to netip.AddrPort, req *sycapb.SyncRequest) (*sycapb.SyncReply, error) {
	other, ok := d.peer(to)
	if !ok {
		sleep(ctx, exchangeLimit)
		return nil, errCut
	}
	return other.node.HandleSync(req), nil
}

func (d *fleetDaemon) count(f func(*sycapb.MemberEntry) bool) int {
	return d.node.Count(func(e *sycapb.MemberEntry) bool { return e.State < sycapb.MemberState_MEMBER_STATE_DEAD && f(e) })
}

func (d *fleetDaemon) rank() int {
	return d.count(func(e *sycapb.MemberEntry) bool { return e.Zone == d.zone && e.Id < d.id })
}

func (d *fleetDaemon) zoneSize() int {
	return 1 + d.count(func(e *sycapb.MemberEntry) bool { return e.Zone == d.zone })
}

func (d *fleetDaemon) isLive(addr netip.AddrPort) bool {
	return d.count(func(e *sycapb.MemberEntry) bool { return e.Addr == addr.String() }) > 0
}

func (d *fleetDaemon) list(context.Context, bool) ([]netip.AddrPort, error) {
	f := d.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.noStore[d.zone] {
		return nil, errUnavailable
	}
	var list []netip.AddrPort
	for a, expires := range f.seeds {
		if a != d.addr && time.Now().Before(expires) {
			list = append(list, a)
		}
	}
	return list, nil
}

func (d *fleetDaemon) renew(context.Context, store.Lease) (store.Lease, error) {
	f := d.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.noStore[d.zone] {
		return store.Lease{}, errUnavailable
	}
	f.seeds[d.addr] = time.Now().Add(seed.LeaseTTL)
	return store.Lease{ID: 1}, nil
}

// complete reports whether each daemon knows exactly the running ones as live.
func (f *fleet) complete() bool {
	f.mu.Lock()
	daemons := slices.Collect(maps.Values(f.daemons))
	f.mu.Unlock()
	for _, d := range daemons {
		if d.count(func(*sycapb.MemberEntry) bool { return true }) != len(daemons)-1 {
			return false
		}
		for _, other := range daemons {
			if other != d && !d.isLive(other.addr) {
				return false
			}
		}
	}
	return true
}

// awaitComplete fails the test unless all running daemons know each other in time.
func (f *fleet) awaitComplete(t *testing.T) {
	t.Helper()
	start := time.Now()
	for !f.complete() {
		if time.Since(start) > rejoinTimeout {
			f.mu.Lock()
			defer f.mu.Unlock()
			for _, d := range f.daemons {
				t.Logf("%s knows %d of %d others", d.id, d.node.Len(), len(f.daemons)-1)
			}
			t.Errorf("the daemons do not know each other %s after the faults", rejoinTimeout)
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Logf("complete after %s", time.Since(start))
}

func (f *fleet) setCut(zone int, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut[fmt.Sprint("z", zone)] = cut
}

func (f *fleet) setStore(zone int, available bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.noStore[fmt.Sprint("z", zone)] = !available
}

// runFleet runs a scenario with n daemons in virtual time.
func runFleet(t *testing.T, script func(f *fleet), n int) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		script(f)
		for zone := range fleetZones {
			f.setCut(zone, false)
			f.setStore(zone, true)
		}
		f.awaitComplete(t)
		for i := range n {
			f.kill(i)
		}
		if err := f.group.Wait(); err != nil {
			t.Error(err)
		}
	})
}

// Zones whose daemons lost their memory in a cut did not find each other when the cut ended.
func TestZonesStayApartAfterAllWereKilledInACut(t *testing.T) {
	const n = 6
	runFleet(t, func(f *fleet) {
		for i := range n {
			f.start(i, true)
		}
		time.Sleep(8 * time.Second)
		f.setCut(0, true)
		time.Sleep(time.Second)
		for i := range n {
			f.kill(i)
		}
		time.Sleep(500 * time.Millisecond)
		for i := range n {
			f.start(i, false)
		}
		time.Sleep(4 * time.Second)
	}, n)
}

// A system that started for the first time in a cut stayed in parts.
func TestFirstStartInACutLeavesParts(t *testing.T) {
	const n = 9
	runFleet(t, func(f *fleet) {
		f.setCut(1, true)
		for i := range n {
			f.start(i, true)
		}
		time.Sleep(10 * time.Second)
	}, n)
}

// After a power cut from which the daemons with seeds did not return, the others found nobody until the leases of
// the seeds ended.
func TestDaemonsStayAloneAfterAllSeedsWereLost(t *testing.T) {
	for _, n := range []int{11, 30, 90} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			runFleet(t, func(f *fleet) {
				for i := range n {
					f.start(i, true)
				}
				// Only the first daemons of each zone go on renewing their seeds.
				time.Sleep(2 * seed.LeaseTTL)
				lost := f.seedHolders()
				if len(lost) != fleetZones*perZone {
					t.Fatalf("%d seeds", len(lost))
				}
				for i := range n {
					f.kill(i)
				}
				time.Sleep(2 * time.Second)
				for i := range n {
					if !lost[i] {
						f.start(i, false)
					}
				}
			}, n)
		})
	}
}

// seedHolders returns which daemons have a seed.
func (f *fleet) seedHolders() map[int]bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	holders := map[int]bool{}
	for addr, expires := range f.seeds {
		if time.Now().After(expires) {
			continue
		}
		holders[int(addr.Addr().As4()[3])-1] = true
	}
	return holders
}

// Random starts, kills, cuts and losses of the platform left parts that did not find each other.
func TestMembershipStaysSplitAfterFaults(t *testing.T) {
	for s := range uint64(40) {
		t.Run(fmt.Sprint(s), func(t *testing.T) {
			t.Parallel()
			rnd := rand.New(rand.NewPCG(s, 0))
			n := 3 + rnd.IntN(10)
			runFleet(t, func(f *fleet) { f.disturb(rnd, n) }, n)
		})
	}
}

// disturb starts n daemons and injects a random series of faults.
func (f *fleet) disturb(rnd *rand.Rand, n int) {
	bootstrap := rnd.IntN(2) == 0
	if rnd.IntN(3) == 0 {
		f.setCut(rnd.IntN(fleetZones), true)
	}
	if rnd.IntN(4) == 0 {
		f.setStore(rnd.IntN(fleetZones), false)
	}
	for i := range n {
		f.start(i, bootstrap)
	}
	for range 2 + rnd.IntN(6) {
		time.Sleep(time.Duration(rnd.Int64N(int64(6 * time.Second))))
		switch rnd.IntN(6) {
		case 0, 1:
			f.setCut(rnd.IntN(fleetZones), rnd.IntN(3) > 0)
		case 2:
			f.setStore(rnd.IntN(fleetZones), rnd.IntN(3) == 0)
		case 3:
			f.restart(rnd, n, 1)
		default:
			f.restart(rnd, n, 0.4)
		}
	}
}

// restart kills a share of the daemons at once and starts them again.
func (f *fleet) restart(rnd *rand.Rand, n int, share float64) {
	var killed []int
	for i := range n {
		if rnd.Float64() < share {
			f.kill(i)
			killed = append(killed, i)
		}
	}
	time.Sleep(time.Duration(rnd.Int64N(int64(2 * time.Second))))
	for _, i := range killed {
		f.start(i, false)
	}
}
