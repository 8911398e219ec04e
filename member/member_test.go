package member_test

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"sycamorespread.dev/member"
	"sycamorespread.dev/sycapb"
)

// probeInterval is the time between two probes of a node.
const probeInterval = 200 * time.Millisecond

// network delivers packets between the nodes of a test and can partition zones.
type network struct {
	mu          sync.Mutex
	endpoints   map[netip.AddrPort]*endpoint
	partitioned map[string]bool
	// hanging holds addresses whose exchanges fail after one second.
	hanging map[netip.AddrPort]bool
}

// endpoint is one node and its socket.
type endpoint struct {
	zone   string
	node   *member.Node
	in     chan packet
	closed chan struct{}
	down   atomic.Bool
	once   sync.Once
}

type packet struct {
	b    []byte
	from netip.AddrPort
}

var errClosed = errors.New("closed")

// deliverable returns the endpoint at to and reports whether packets pass
// between the two addresses.
func (nw *network) deliverable(from, to netip.AddrPort) (*endpoint, bool) {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	a, b := nw.endpoints[from], nw.endpoints[to]
	if a == nil || b == nil || a.down.Load() || b.down.Load() {
		return nil, false
	}
	return b, a.zone == b.zone || !nw.partitioned[a.zone] && !nw.partitioned[b.zone]
}

func (nw *network) conn(addr netip.AddrPort, ep *endpoint) member.Conn {
	return member.Conn{
		Read: func(b []byte) (int, netip.AddrPort, error) {
			select {
			case p := <-ep.in:
				return copy(b, p.b), p.from, nil
			case <-ep.closed:
				return 0, netip.AddrPort{}, errClosed
			}
		},
		Write: func(b []byte, to netip.AddrPort) error {
			other, ok := nw.deliverable(addr, to)
			if !ok {
				return nil
			}
			select {
			case other.in <- packet{b: append([]byte(nil), b...), from: addr}:
			default:
			}
			return nil
		},
		Close: func() error {
			ep.once.Do(func() { close(ep.closed) })
			return nil
		},
	}
}

func (nw *network) exchange(from netip.AddrPort) func(context.Context, netip.AddrPort, *sycapb.SyncRequest) (*sycapb.SyncReply, error) {
	return func(_ context.Context, to netip.AddrPort, req *sycapb.SyncRequest) (*sycapb.SyncReply, error) {
		nw.mu.Lock()
		hanging := nw.hanging[to]
		nw.mu.Unlock()
		if hanging {
			time.Sleep(time.Second)
		}
		other, ok := nw.deliverable(from, to)
		if !ok {
			return nil, errClosed
		}
		return other.node.HandleSync(req), nil
	}
}

// cluster is a set of running nodes.
type cluster struct {
	network   *network
	endpoints []*endpoint
	addrs     []netip.AddrPort
	group     errgroup.Group
	stop      context.CancelFunc
	ctx       context.Context //nolint:containedctx // The nodes of a test live as long as the test.
}

func newCluster(t *testing.T, n int) *cluster {
	ctx, stop := context.WithCancel(context.Background())
	c := &cluster{network: &network{endpoints: map[netip.AddrPort]*endpoint{}, partitioned: map[string]bool{}}, ctx: ctx, stop: stop}
	t.Cleanup(func() {
		stop()
		_ = c.group.Wait()
	})
	for i := range n {
		c.start(i, 1)
	}
	for i := range c.endpoints {
		c.endpoints[i].node.Join(ctx, c.addrs[:1])
	}
	return c
}

// start starts a node in one of three zones.
func (c *cluster) start(i int, incarnation uint64) *endpoint {
	return c.startAs(fmt.Sprint("n", i), i, incarnation)
}

// startAs starts a node with the given ID at the address of the i-th node.
func (c *cluster) startAs(id string, i int, incarnation uint64) *endpoint {
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 7)
	zone := fmt.Sprintf("z%d", i%3)
	ep := &endpoint{zone: zone, in: make(chan packet, 256), closed: make(chan struct{})}
	ep.node = member.New(member.Config{
		Self:          &sycapb.MemberEntry{Id: id, Incarnation: incarnation, Zone: zone, Region: "r", Addr: addr.String()},
		ProbeInterval: probeInterval,
		Now:           time.Now,
		Revision:      func() uint64 { return 0 },
		Exchange:      c.network.exchange(addr),
	}, c.network.conn(addr, ep))
	c.network.mu.Lock()
	c.network.endpoints[addr] = ep
	c.network.mu.Unlock()
	c.endpoints = append(c.endpoints, ep)
	c.addrs = append(c.addrs, addr)
	c.group.Go(func() error { return ep.node.Run(c.ctx) })
	return ep
}

// liveCount returns the number of members that are alive in the view of the
// node, including itself.
func (ep *endpoint) liveCount() int {
	n := 1
	for _, m := range ep.node.Members() {
		if m.Entry.State == sycapb.MemberState_MEMBER_STATE_ALIVE && !m.Entry.Leaving {
			n++
		}
	}
	return n
}

// awaitLive waits until each endpoint sees n live members.
func (c *cluster) awaitLive(t *testing.T, timeout time.Duration, n int, event string, endpoints ...*endpoint) {
	t.Helper()
	start := time.Now()
	for _, b := range endpoints {
		for b.liveCount() != n {
			if time.Since(start) > timeout {
				t.Fatalf("%s: %d live members after %s, want %d", event, b.liveCount(), timeout, n)
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
	t.Logf("%s: %s", event, time.Since(start).Round(time.Millisecond))
}

func TestJoinLeaveAndDeath(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 12)
	c.awaitLive(t, 3*time.Second, 12, "join", c.endpoints...)

	joiner := c.start(12, 1)
	joiner.node.Join(c.ctx, c.addrs[3:4])
	c.awaitLive(t, 3*time.Second, 13, "a new daemon joins", c.endpoints...)

	joiner.node.UpdateSelf(func(e *sycapb.MemberEntry) { e.Leaving = true })
	c.awaitLive(t, 3*time.Second, 12, "a daemon leaves", c.endpoints[:12]...)

	c.endpoints[5].down.Store(true)
	survivors := append(append([]*endpoint(nil), c.endpoints[:5]...), c.endpoints[6:12]...)
	c.awaitLive(t, 3*time.Second, 11, "a daemon dies", survivors...)
}

// A daemon that starts at the address of a dead one must not keep the dead one
// alive by acking its probes: requests were then sent to a backend server of
// another service.
func TestAddressReuseEvictsOldMember(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 8)
	c.awaitLive(t, 3*time.Second, 8, "join", c.endpoints...)
	c.endpoints[5].down.Store(true)
	successor := c.startAs("next", 5, 2)
	successor.node.Join(c.ctx, c.addrs[:1])
	survivors := append(append([]*endpoint(nil), c.endpoints[:5]...), c.endpoints[6:8]...)
	for _, b := range append(survivors, successor) {
		start := time.Now()
		for !b.sees("next", "n5") {
			if time.Since(start) > 3*time.Second {
				t.Fatalf("the dead member is still alive in the view of a node after %s", time.Since(start))
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
}

// Seeds of dead daemons must not delay the start of a daemon: when a whole fleet
// was killed, each daemon that restarted waited for the seeds one after the other.
func TestJoinSkipsUnresponsiveSeeds(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3)
	joiner := c.start(3, 1)
	hanging := netip.MustParseAddrPort("10.9.9.9:7")
	c.network.mu.Lock()
	c.network.hanging = map[netip.AddrPort]bool{hanging: true}
	c.network.mu.Unlock()
	start := time.Now()
	if !joiner.node.Join(c.ctx, []netip.AddrPort{hanging, hanging, c.addrs[0]}) {
		t.Fatal("Join got no response")
	}
	if elapsed := time.Since(start); elapsed > 100*time.Millisecond {
		t.Errorf("joined after %s", elapsed)
	}
}

// sees reports whether, in the view of the node, live is alive and dead is not.
func (ep *endpoint) sees(live, dead string) bool {
	alive := map[string]bool{ep.node.Self().Id: true}
	for _, m := range ep.node.Members() {
		alive[m.Entry.Id] = m.Entry.State == sycapb.MemberState_MEMBER_STATE_ALIVE
	}
	return alive[live] && !alive[dead]
}

func TestPartitionedZoneRejoins(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 9)
	c.awaitLive(t, 3*time.Second, 9, "join", c.endpoints...)
	c.network.mu.Lock()
	c.network.partitioned["z1"] = true
	c.network.mu.Unlock()
	c.awaitLive(t, 8*time.Second, 3, "the partitioned zone sees itself", c.endpoints[1], c.endpoints[4], c.endpoints[7])
	c.awaitLive(t, 8*time.Second, 6, "the other zones see each other", c.endpoints[0], c.endpoints[2])
	c.network.mu.Lock()
	c.network.partitioned["z1"] = false
	c.network.mu.Unlock()
	c.awaitLive(t, 8*time.Second, 9, "healed", c.endpoints...)
}

// Most daemons restart while the platform is unavailable, so they know no other
// one. The others must find each of them within two probe rounds. Guards against
// one random dead member being probed every few rounds: while all instances of a
// service restarted in turn, nobody used those that were back.
func TestRestartedDaemonsAreFound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const daemons, remaining = 40, 3
		c := newCluster(t, daemons)
		c.awaitLive(t, 3*time.Second, daemons, "join", c.endpoints...)
		others := c.endpoints[:remaining]
		for _, ep := range c.endpoints[remaining:] {
			ep.node.UpdateSelf(func(e *sycapb.MemberEntry) { e.State = sycapb.MemberState_MEMBER_STATE_LEFT })
		}
		c.awaitLive(t, 3*time.Second, remaining, "most daemons leave", others...)
		for i, ep := range c.endpoints[remaining:] {
			ep.down.Store(true)
			c.start(remaining+i, 2)
		}
		c.awaitLive(t, 2*probeInterval, daemons, "they restart", others...)
	})
}

func TestPausedDaemonRejoins(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 6)
	c.awaitLive(t, 3*time.Second, 6, "join", c.endpoints...)
	c.endpoints[2].down.Store(true)
	c.awaitLive(t, 5*time.Second, 5, "paused", c.endpoints[0], c.endpoints[1])
	c.endpoints[2].down.Store(false)
	c.awaitLive(t, 5*time.Second, 6, "back", c.endpoints...)
}

func entryGen(t *rapid.T) *sycapb.MemberEntry {
	return &sycapb.MemberEntry{
		Id:          rapid.SampledFrom([]string{"a", "b"}).Draw(t, "id"),
		Addr:        "10.0.0.1:7",
		Zone:        "z",
		Incarnation: rapid.Uint64Range(1, 3).Draw(t, "incarnation"),
		Epoch:       rapid.Uint32Range(0, 2).Draw(t, "epoch"),
		State:       sycapb.MemberState(rapid.Int32Range(0, 2).Draw(t, "state")),
	}
}

// Two nodes that receive the same entries in different orders have the same view.
func TestMergeConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.SliceOfN(rapid.Custom(entryGen), 1, 12).Draw(t, "entries")
		views := make([]map[string]string, 0, 2)
		for _, order := range [][]*sycapb.MemberEntry{entries, rapid.Permutation(entries).Draw(t, "order")} {
			n := member.New(member.Config{
				Self:     &sycapb.MemberEntry{Id: "self", Incarnation: 1},
				Now:      time.Now,
				Revision: func() uint64 { return 0 },
			}, member.Conn{})
			for _, e := range order {
				n.Merge([]*sycapb.MemberEntry{proto.Clone(e).(*sycapb.MemberEntry)})
			}
			view := map[string]string{}
			for _, r := range n.Members() {
				view[r.Entry.Id] = fmt.Sprint(r.Entry.Incarnation, r.Entry.Epoch, r.Entry.State)
			}
			views = append(views, view)
		}
		if fmt.Sprint(views[0]) != fmt.Sprint(views[1]) {
			t.Fatalf("view %v in one order, %v in another", views[0], views[1])
		}
	})
}

func TestRefutesEntriesAboutSelf(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := member.New(member.Config{
			Self:     &sycapb.MemberEntry{Id: "self", Incarnation: 2},
			Now:      time.Now,
			Revision: func() uint64 { return 0 },
		}, member.Conn{})
		entry := &sycapb.MemberEntry{
			Id:          "self",
			Incarnation: rapid.Uint64Range(1, 4).Draw(t, "incarnation"),
			Epoch:       rapid.Uint32Range(0, 3).Draw(t, "epoch"),
			State:       sycapb.MemberState(rapid.Int32Range(0, 2).Draw(t, "state")),
		}
		n.Merge([]*sycapb.MemberEntry{entry})
		if self := n.Self(); entry.State != sycapb.MemberState_MEMBER_STATE_ALIVE && member.CompareEntries(self, entry) <= 0 {
			t.Fatalf("own entry %v does not supersede %v", self, entry)
		}
	})
}
