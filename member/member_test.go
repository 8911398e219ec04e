package member_test

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"sycamorespread.dev/member"
	"sycamorespread.dev/sycapb"
)

// network carries the packets of the nodes of a test and cuts zones off.
type network struct {
	mu          sync.Mutex
	endpoints   map[netip.AddrPort]*endpoint
	partitioned map[string]bool
	// hanging holds addresses whose exchanges end after a second, without an answer.
	hanging map[netip.AddrPort]bool
}

// endpoint is the socket of one node.
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

// deliverable reports whether a packet passes between two boxes.
func (w *network) deliverable(from, to netip.AddrPort) (*endpoint, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	a, b := w.endpoints[from], w.endpoints[to]
	if a == nil || b == nil || a.down.Load() || b.down.Load() {
		return nil, false
	}
	return b, a.zone == b.zone || !w.partitioned[a.zone] && !w.partitioned[b.zone]
}

func (w *network) conn(addr netip.AddrPort, bx *endpoint) member.Conn {
	return member.Conn{
		Read: func(b []byte) (int, netip.AddrPort, error) {
			select {
			case p := <-bx.in:
				return copy(b, p.b), p.from, nil
			case <-bx.closed:
				return 0, netip.AddrPort{}, errClosed
			}
		},
		Write: func(b []byte, to netip.AddrPort) error {
			other, ok := w.deliverable(addr, to)
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
			bx.once.Do(func() { close(bx.closed) })
			return nil
		},
	}
}

func (w *network) exchange(from netip.AddrPort) func(context.Context, netip.AddrPort, *sycapb.SyncRequest) (*sycapb.SyncReply, error) {
	return func(_ context.Context, to netip.AddrPort, req *sycapb.SyncRequest) (*sycapb.SyncReply, error) {
		w.mu.Lock()
		hang := w.hanging[to]
		w.mu.Unlock()
		if hang {
			time.Sleep(time.Second)
		}
		other, ok := w.deliverable(from, to)
		if !ok {
			return nil, errClosed
		}
		return other.node.HandleSync(req), nil
	}
}

// cluster is a set of running nodes.
type cluster struct {
	net       *network
	endpoints []*endpoint
	addrs     []netip.AddrPort
	group     errgroup.Group
	stop      context.CancelFunc
	ctx       context.Context //nolint:containedctx // The nodes of a test live as long as the test.
}

func newCluster(t *testing.T, n int) *cluster {
	ctx, stop := context.WithCancel(context.Background())
	f := &cluster{net: &network{endpoints: map[netip.AddrPort]*endpoint{}, partitioned: map[string]bool{}}, ctx: ctx, stop: stop}
	t.Cleanup(func() {
		stop()
		_ = f.group.Wait()
	})
	for i := range n {
		f.add(i, 1)
	}
	for i := range f.endpoints {
		f.endpoints[i].node.Join(ctx, f.addrs[:1])
	}
	return f
}

// add starts a node in one of three zones.
func (f *cluster) add(i int, incarnation uint64) *endpoint {
	return f.addAs(fmt.Sprint("n", i), i, incarnation)
}

// addAs starts a node with an ID at the address of the i-th node.
func (f *cluster) addAs(id string, i int, incarnation uint64) *endpoint {
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 7)
	zone := fmt.Sprintf("z%d", i%3)
	bx := &endpoint{zone: zone, in: make(chan packet, 256), closed: make(chan struct{})}
	bx.node = member.New(member.Config{
		Self:          &sycapb.MemberEntry{Id: id, Incarnation: incarnation, Zone: zone, Region: "r", Addr: addr.String()},
		ProbeInterval: 200 * time.Millisecond,
		Now:           time.Now,
		Revision:      func() uint64 { return 0 },
		Exchange:      f.net.exchange(addr),
	}, f.net.conn(addr, bx))
	f.net.mu.Lock()
	f.net.endpoints[addr] = bx
	f.net.mu.Unlock()
	f.endpoints = append(f.endpoints, bx)
	f.addrs = append(f.addrs, addr)
	f.group.Go(func() error { return bx.node.Run(f.ctx) })
	return bx
}

// liveCount returns how many members a node takes for alive, itself included.
func (b *endpoint) liveCount() int {
	n := 1
	for _, r := range b.node.Members() {
		if r.Entry.State == sycapb.MemberState_MEMBER_STATE_ALIVE && !r.Entry.Leaving {
			n++
		}
	}
	return n
}

// awaitLive polls until all boxes that are up see n live members.
func (f *cluster) awaitLive(t *testing.T, within time.Duration, n int, what string, boxes ...*endpoint) {
	t.Helper()
	start := time.Now()
	for _, b := range boxes {
		for b.liveCount() != n {
			if time.Since(start) > within {
				t.Fatalf("%s: %d members are seen after %s, want %d", what, b.liveCount(), within, n)
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
	t.Logf("%s: %s", what, time.Since(start).Round(time.Millisecond))
}

func TestJoinLeaveAndDeath(t *testing.T) {
	t.Parallel()
	f := newCluster(t, 12)
	f.awaitLive(t, 3*time.Second, 12, "join", f.endpoints...)

	late := f.add(12, 1)
	late.node.Join(f.ctx, f.addrs[3:4])
	f.awaitLive(t, 3*time.Second, 13, "a new daemon is known", f.endpoints...)

	late.node.UpdateSelf(func(e *sycapb.MemberEntry) { e.Leaving = true })
	f.awaitLive(t, 3*time.Second, 12, "a leaving daemon is known", f.endpoints[:12]...)

	f.endpoints[5].down.Store(true)
	rest := append(append([]*endpoint(nil), f.endpoints[:5]...), f.endpoints[6:12]...)
	f.awaitLive(t, 3*time.Second, 11, "a dead daemon is known", rest...)
}

// Another daemon at the address of one that is gone must not keep it alive:
// requests were sent to a backend server of another service.
func TestAnotherMemberAtTheAddress(t *testing.T) {
	t.Parallel()
	f := newCluster(t, 8)
	f.awaitLive(t, 3*time.Second, 8, "join", f.endpoints...)
	f.endpoints[5].down.Store(true)
	next := f.addAs("next", 5, 2)
	next.node.Join(f.ctx, f.addrs[:1])
	rest := append(append([]*endpoint(nil), f.endpoints[:5]...), f.endpoints[6:8]...)
	for _, b := range append(rest, next) {
		start := time.Now()
		for !b.sees("next", "n5") {
			if time.Since(start) > 3*time.Second {
				t.Fatalf("the member that is gone is still taken for alive after %s", time.Since(start))
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
}

// Seeds of daemons that are gone must not hold up a daemon that starts: all of
// a fleet that was killed waited for them one after the other.
func TestJoinPassesOverDeadSeeds(t *testing.T) {
	t.Parallel()
	f := newCluster(t, 3)
	late := f.add(3, 1)
	hang := netip.MustParseAddrPort("10.9.9.9:7")
	f.net.mu.Lock()
	f.net.hanging = map[netip.AddrPort]bool{hang: true}
	f.net.mu.Unlock()
	start := time.Now()
	if !late.node.Join(f.ctx, []netip.AddrPort{hang, hang, f.addrs[0]}) {
		t.Fatal("not joined")
	}
	if took := time.Since(start); took > 100*time.Millisecond {
		t.Errorf("joined after %s", took)
	}
}

// sees reports whether a node takes one member for alive and another not.
func (b *endpoint) sees(up, gone string) bool {
	alive := map[string]bool{b.node.Self().Id: true}
	for _, r := range b.node.Members() {
		alive[r.Entry.Id] = r.Entry.State == sycapb.MemberState_MEMBER_STATE_ALIVE
	}
	return alive[up] && !alive[gone]
}

func TestCutZoneRejoinsByItself(t *testing.T) {
	t.Parallel()
	f := newCluster(t, 9)
	f.awaitLive(t, 3*time.Second, 9, "join", f.endpoints...)
	f.net.mu.Lock()
	f.net.partitioned["z1"] = true
	f.net.mu.Unlock()
	f.awaitLive(t, 8*time.Second, 3, "the cut zone sees itself", f.endpoints[1], f.endpoints[4], f.endpoints[7])
	f.awaitLive(t, 8*time.Second, 6, "the others see themselves", f.endpoints[0], f.endpoints[2])
	f.net.mu.Lock()
	f.net.partitioned["z1"] = false
	f.net.mu.Unlock()
	f.awaitLive(t, 8*time.Second, 9, "healed", f.endpoints...)
}

func TestPausedDaemonComesBack(t *testing.T) {
	t.Parallel()
	f := newCluster(t, 6)
	f.awaitLive(t, 3*time.Second, 6, "join", f.endpoints...)
	f.endpoints[2].down.Store(true)
	f.awaitLive(t, 5*time.Second, 5, "paused", f.endpoints[0], f.endpoints[1])
	f.endpoints[2].down.Store(false)
	f.awaitLive(t, 5*time.Second, 6, "back", f.endpoints...)
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

// Two nodes that heard the same entries in any order agree.
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
			t.Fatalf("one order gives %v, another %v", views[0], views[1])
		}
	})
}

func TestRefutesWhatOthersSayOfIt(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := member.New(member.Config{
			Self:     &sycapb.MemberEntry{Id: "self", Incarnation: 2},
			Now:      time.Now,
			Revision: func() uint64 { return 0 },
		}, member.Conn{})
		said := &sycapb.MemberEntry{
			Id:          "self",
			Incarnation: rapid.Uint64Range(1, 4).Draw(t, "incarnation"),
			Epoch:       rapid.Uint32Range(0, 3).Draw(t, "epoch"),
			State:       sycapb.MemberState(rapid.Int32Range(0, 2).Draw(t, "state")),
		}
		n.Merge([]*sycapb.MemberEntry{said})
		if self := n.Self(); said.State != sycapb.MemberState_MEMBER_STATE_ALIVE && member.CompareEntries(self, said) <= 0 {
			t.Fatalf("own entry %v does not supersede %v", self, said)
		}
	})
}
