package member_test

import (
	"context"
	"net/netip"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"sycamorespread.dev/member"
	"sycamorespread.dev/sycapb"
)

// confirmRig is a node with one peer that the test plays, and a clock that it sets.
type confirmRig struct {
	in, out chan []byte
	// confirmed receives the times at which the peer's revision was the newest one.
	confirmed chan time.Time

	mu  sync.Mutex
	now time.Time
	// age is the age of the node's own revision, below 0 if it is not known.
	age time.Duration
}

func newConfirmRig(t *testing.T) *confirmRig {
	r := &confirmRig{in: make(chan []byte), out: make(chan []byte, 100), confirmed: make(chan time.Time, 100), now: time.Unix(1000, 0)}
	closed := make(chan struct{})
	n := member.New(member.Config{
		Self:          &sycapb.MemberEntry{Id: "a", Addr: "127.0.0.1:1", Incarnation: 1},
		ProbeInterval: 10 * time.Millisecond,
		Now:           time.Now,
		Clock:         r.clock,
		Revision:      func() uint64 { return 7 },
		PolicyAge: func(uint64) (time.Duration, bool) {
			r.mu.Lock()
			defer r.mu.Unlock()
			return r.age, r.age >= 0
		},
		OnConfirmed: func(_ netip.AddrPort, _ uint64, at time.Time) { r.confirmed <- at },
	}, member.Conn{
		Read: func(b []byte) (int, netip.AddrPort, error) {
			select {
			case p := <-r.in:
				return copy(b, p), netip.AddrPort{}, nil
			case <-closed:
				return 0, netip.AddrPort{}, errClosed
			}
		},
		Write: func(b []byte, _ netip.AddrPort) error {
			select {
			case r.out <- append([]byte(nil), b...):
			default:
			}
			return nil
		},
		Close: func() error { close(closed); return nil },
	})
	n.Merge([]*sycapb.MemberEntry{{Id: "b", Addr: "127.0.0.1:2", Incarnation: 1}})
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	g.Go(func() error { return n.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		if err := g.Wait(); err != nil {
			t.Error(err)
		}
	})
	return r
}

func (r *confirmRig) clock() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.now
}

func (r *confirmRig) advance(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.now = r.now.Add(d)
}

// next returns the next packet of a kind that the node sends.
func (r *confirmRig) next(t *testing.T, kind sycapb.Packet_Kind) *sycapb.Packet {
	t.Helper()
	for {
		select {
		case b := <-r.out:
			p := new(sycapb.Packet)
			if err := proto.Unmarshal(b, p); err != nil {
				t.Fatal(err)
			}
			if p.Kind == kind {
				return p
			}
		case <-time.After(5 * time.Second):
			t.Fatalf("no %s", kind)
		}
	}
}

// deliver sends a packet of the peer, with a revision that was the newest one 100 ms before.
func (r *confirmRig) deliver(t *testing.T, kind sycapb.Packet_Kind, seq uint64) {
	t.Helper()
	b, err := proto.Marshal(&sycapb.Packet{Kind: kind, Seq: seq, From: "b", FromAddr: "127.0.0.1:2", PolicyRevision: 7, PolicyAgeMs: proto.Uint32(100)})
	if err != nil {
		t.Fatal(err)
	}
	r.in <- b
}

func TestLateAckConfirmsAnOldVersion(t *testing.T) {
	r := newConfirmRig(t)
	ping := r.next(t, sycapb.Packet_KIND_PING)
	asked := r.clock()
	r.advance(4 * time.Second)
	r.deliver(t, sycapb.Packet_KIND_ACK, ping.Seq)
	if at := <-r.confirmed; at.After(asked) {
		t.Errorf("confirmed as of %s after the ping", at.Sub(asked))
	}
}

func TestLatePacketConfirmsAnOldVersion(t *testing.T) {
	r := newConfirmRig(t)
	r.deliver(t, sycapb.Packet_KIND_GOSSIP, 0)
	r.deliver(t, sycapb.Packet_KIND_PING, 1)
	r.deliver(t, sycapb.Packet_KIND_ACK, 1<<40)
	ping := r.next(t, sycapb.Packet_KIND_PING)
	r.deliver(t, sycapb.Packet_KIND_ACK, ping.Seq)
	if at := <-r.confirmed; at != r.clock().Add(-100*time.Millisecond) {
		t.Errorf("confirmed as of %s", at)
	}
	if n := len(r.confirmed); n > 0 {
		t.Errorf("%d packets that nobody asked for confirm the policy", n+1)
	}
}

func TestAcksCarryTheAgeOfTheRevision(t *testing.T) {
	r := newConfirmRig(t)
	for _, age := range []time.Duration{300 * time.Millisecond, -1} {
		r.mu.Lock()
		r.age = age
		r.mu.Unlock()
		r.deliver(t, sycapb.Packet_KIND_PING, 5)
		p := r.next(t, sycapb.Packet_KIND_ACK)
		if p.PolicyRevision != 7 || (p.PolicyAgeMs != nil) != (age >= 0) || age >= 0 && p.GetPolicyAgeMs() != 301 {
			t.Errorf("age %s: packet %v", age, p)
		}
	}
}
