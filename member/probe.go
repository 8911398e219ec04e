package member

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"sycamorespread.dev/sycapb"
)

const (
	// ackWait is how long a direct probe waits for its answer.
	ackWait = 300 * time.Millisecond
	// reachTries and reachWait bound the time in which a member must show that it can be reached.
	reachTries = 2
	reachWait  = 120 * time.Millisecond
	// indirectWait is how long the probes through others wait.
	indirectWait = 400 * time.Millisecond
	// indirectFan is the number of members asked to probe.
	indirectFan = 3
	// suspectWait is how long a suspected member has to refute.
	suspectWait = 1500 * time.Millisecond
	// deadProbeEvery is the number of probe rounds between two probes of a dead member.
	deadProbeEvery = 3
)

func (n *Node) probeLoop(ctx context.Context) error {
	t := time.NewTicker(n.cfg.Probe)
	defer t.Stop()
	for round := 0; ; round++ {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
		n.bury()
		n.purge()
		if round%deadProbeEvery == 0 {
			n.probeDead()
		}
		if e := n.next(); e != nil {
			n.probe(ctx, e)
		}
	}
}

// next returns the next member of a random order over all that are not dead.
func (n *Node) next() *sycapb.MemberEntry {
	n.mu.Lock()
	defer n.mu.Unlock()
	for {
		if len(n.order) == 0 {
			n.shuffle()
		}
		if len(n.order) == 0 {
			return nil
		}
		id := n.order[0]
		n.order = n.order[1:]
		if r, ok := n.rows[id]; ok && r.Entry.State < sycapb.MemberState_MEMBER_STATE_DEAD {
			return proto.Clone(r.Entry).(*sycapb.MemberEntry)
		}
	}
}

func (n *Node) shuffle() {
	for id, r := range n.rows {
		if r.Entry.State < sycapb.MemberState_MEMBER_STATE_DEAD {
			n.order = append(n.order, id)
		}
	}
	rand.Shuffle(len(n.order), func(i, j int) { n.order[i], n.order[j] = n.order[j], n.order[i] })
}

// probe suspects e unless it answers directly or through others.
func (n *Node) probe(ctx context.Context, e *sycapb.MemberEntry) {
	to, err := netip.ParseAddrPort(e.Addr)
	if err != nil {
		return
	}
	start := n.cfg.Now()
	if n.ping(ctx, e.Id, to, ackWait) {
		return
	}
	if n.pingThrough(ctx, e) {
		return
	}
	// A node that was paused itself must not blame others.
	if ctx.Err() != nil || n.cfg.Now().Sub(start) > 2*(ackWait+indirectWait) {
		return
	}
	if n.setState(e.Id, e, sycapb.MemberState_MEMBER_STATE_SUSPECT) {
		n.spread()
	}
}

// ping probes the member with an ID at its address and reports whether it
// answered in time.
func (n *Node) ping(ctx context.Context, id string, to netip.AddrPort, wait time.Duration) bool {
	seq, acked := n.await()
	defer n.drop(seq)
	n.send(to, &sycapb.Packet{Kind: sycapb.Packet_KIND_PING, Seq: seq, To: id})
	return wasAcked(ctx, acked, wait)
}

func (n *Node) pingThrough(ctx context.Context, e *sycapb.MemberEntry) bool {
	n.mu.Lock()
	helpers := n.pickLive(indirectFan, e.Id)
	n.mu.Unlock()
	seq, acked := n.await()
	defer n.drop(seq)
	for _, h := range helpers {
		n.send(h, &sycapb.Packet{Kind: sycapb.Packet_KIND_PINGREQ, Seq: seq, Target: e.Addr, To: e.Id})
	}
	return wasAcked(ctx, acked, indirectWait)
}

func wasAcked(ctx context.Context, acked <-chan struct{}, wait time.Duration) bool {
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-acked:
		return true
	case <-t.C:
	case <-ctx.Done():
	}
	return false
}

func (n *Node) await() (uint64, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.seq++
	c := make(chan struct{}, 1)
	n.acks[n.seq] = c
	return n.seq, c
}

func (n *Node) drop(seq uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.acks, seq)
}

func (n *Node) acked(seq uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if c, ok := n.acks[seq]; ok {
		select {
		case c <- struct{}{}:
		default:
		}
	}
}

// relay probes a target for another member and passes its answer on.
func (n *Node) relay(ctx context.Context, from netip.AddrPort, p *sycapb.Packet) {
	target, err := netip.ParseAddrPort(p.Target)
	if err != nil {
		return
	}
	n.relays.Go(func() error {
		// Guard has logged a panic; the asker gets no answer.
		_ = n.cfg.Guard.Call("relay", func() {
			if n.ping(ctx, p.To, target, ackWait) {
				n.send(from, &sycapb.Packet{Kind: sycapb.Packet_KIND_ACK, Seq: p.Seq})
			}
		})
		return nil
	})
}

// bury declares those dead that were suspected for too long.
func (n *Node) bury() {
	n.mu.Lock()
	now := n.cfg.Now()
	var late []*sycapb.MemberEntry
	for _, r := range n.rows {
		if r.Entry.State == sycapb.MemberState_MEMBER_STATE_SUSPECT && now.Sub(r.Since) > suspectWait {
			late = append(late, proto.Clone(r.Entry).(*sycapb.MemberEntry))
		}
	}
	n.mu.Unlock()
	for _, e := range late {
		n.setState(e.Id, e, sycapb.MemberState_MEMBER_STATE_DEAD)
	}
}

// probeDead sends a packet with its own entry to one random member that is
// gone, so that a healed partition is noticed, the member refutes, and one
// that started again at its old address finds the others.
func (n *Node) probeDead() {
	n.mu.Lock()
	var dead []*Row
	for _, r := range n.rows {
		if r.Entry.State >= sycapb.MemberState_MEMBER_STATE_DEAD {
			dead = append(dead, r)
		}
	}
	if len(dead) == 0 {
		n.mu.Unlock()
		return
	}
	r := dead[rand.IntN(len(dead))]
	p := &sycapb.Packet{Kind: sycapb.Packet_KIND_PING, To: r.Entry.Id, Entries: []*sycapb.MemberEntry{
		proto.Clone(r.Entry).(*sycapb.MemberEntry),
		proto.Clone(n.self).(*sycapb.MemberEntry),
	}}
	n.mu.Unlock()
	n.send(r.Addr, p)
}

// Poll asks every member that is not known to have a policy revision for it;
// each answer carries the revision in force there.
func (n *Node) Poll(revision uint64) {
	n.mu.Lock()
	var to []netip.AddrPort
	for _, r := range n.rows {
		if r.Revision < revision && r.Entry.State < sycapb.MemberState_MEMBER_STATE_DEAD {
			to = append(to, r.Addr)
		}
	}
	n.mu.Unlock()
	for _, addr := range to {
		n.send(addr, &sycapb.Packet{Kind: sycapb.Packet_KIND_PING})
	}
}

// Reach reports whether the member with the ID answers one of reachTries
// packets sent straight to it.
func (n *Node) Reach(ctx context.Context, id string) bool {
	n.mu.Lock()
	r, ok := n.rows[id]
	n.mu.Unlock()
	if !ok {
		return false
	}
	for range reachTries {
		if n.ping(ctx, id, r.Addr, reachWait) {
			return true
		}
	}
	return false
}
