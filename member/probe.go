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
	// ackTimeout is how long a direct probe waits for its answer.
	ackTimeout = 300 * time.Millisecond
	// reachAttempts and reachTimeout bound the time in which a member must show that it can be reached.
	reachAttempts = 2
	reachTimeout  = 120 * time.Millisecond
	// indirectTimeout is how long the probes through others wait.
	indirectTimeout = 400 * time.Millisecond
	// indirectFanout is the number of members asked to probe.
	indirectFanout = 3
	// suspectTimeout is how long a suspected member has to refute.
	suspectTimeout = 1500 * time.Millisecond
	// deadProbeRounds is the number of probe rounds between two probes of a dead member.
	deadProbeRounds = 3
)

func (n *Node) probeLoop(ctx context.Context) error {
	t := time.NewTicker(n.cfg.ProbeInterval)
	defer t.Stop()
	for round := 0; ; round++ {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
		n.expireSuspects()
		n.purge()
		if round%deadProbeRounds == 0 {
			n.probeDead()
		}
		if e := n.nextToProbe(); e != nil {
			n.probe(ctx, e)
		}
	}
}

// nextToProbe returns the next member of a random order over all that are not dead.
func (n *Node) nextToProbe() *sycapb.MemberEntry {
	n.mu.Lock()
	defer n.mu.Unlock()
	for {
		if len(n.probeOrder) == 0 {
			n.shuffleProbeOrder()
		}
		if len(n.probeOrder) == 0 {
			return nil
		}
		id := n.probeOrder[0]
		n.probeOrder = n.probeOrder[1:]
		if r, ok := n.members[id]; ok && r.Entry.State < sycapb.MemberState_MEMBER_STATE_DEAD {
			return proto.Clone(r.Entry).(*sycapb.MemberEntry)
		}
	}
}

func (n *Node) shuffleProbeOrder() {
	for id, r := range n.members {
		if r.Entry.State < sycapb.MemberState_MEMBER_STATE_DEAD {
			n.probeOrder = append(n.probeOrder, id)
		}
	}
	rand.Shuffle(len(n.probeOrder), func(i, j int) { n.probeOrder[i], n.probeOrder[j] = n.probeOrder[j], n.probeOrder[i] })
}

// probe suspects e unless it answers directly or through others.
func (n *Node) probe(ctx context.Context, e *sycapb.MemberEntry) {
	to, err := netip.ParseAddrPort(e.Addr)
	if err != nil {
		return
	}
	start := n.cfg.Now()
	if n.ping(ctx, e.Id, to, ackTimeout) {
		return
	}
	if n.pingIndirect(ctx, e) {
		return
	}
	// A node that was paused itself must not blame others.
	if ctx.Err() != nil || n.cfg.Now().Sub(start) > 2*(ackTimeout+indirectTimeout) {
		return
	}
	if n.setState(e.Id, e, sycapb.MemberState_MEMBER_STATE_SUSPECT) {
		n.gossip()
	}
}

// ping probes the member with an ID at its address and reports whether it
// answered in time.
func (n *Node) ping(ctx context.Context, id string, to netip.AddrPort, wait time.Duration) bool {
	seq, acked := n.expectAck()
	defer n.forgetAck(seq)
	n.send(to, &sycapb.Packet{Kind: sycapb.Packet_KIND_PING, Seq: seq, To: id})
	return waitForAck(ctx, acked, wait)
}

func (n *Node) pingIndirect(ctx context.Context, e *sycapb.MemberEntry) bool {
	n.mu.Lock()
	helpers := n.randomLive(indirectFanout, e.Id)
	n.mu.Unlock()
	seq, acked := n.expectAck()
	defer n.forgetAck(seq)
	for _, h := range helpers {
		n.send(h, &sycapb.Packet{Kind: sycapb.Packet_KIND_PINGREQ, Seq: seq, Target: e.Addr, To: e.Id})
	}
	return waitForAck(ctx, acked, indirectTimeout)
}

func waitForAck(ctx context.Context, acked <-chan struct{}, wait time.Duration) bool {
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

func (n *Node) expectAck() (uint64, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.seq++
	c := make(chan struct{}, 1)
	n.pendingAcks[n.seq] = c
	return n.seq, c
}

func (n *Node) forgetAck(seq uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.pendingAcks, seq)
}

func (n *Node) handleAck(seq uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if c, ok := n.pendingAcks[seq]; ok {
		select {
		case c <- struct{}{}:
		default:
		}
	}
}

// relayPing probes a target for another member and passes its answer on.
func (n *Node) relayPing(ctx context.Context, from netip.AddrPort, p *sycapb.Packet) {
	target, err := netip.ParseAddrPort(p.Target)
	if err != nil {
		return
	}
	n.tasks.Go(func() error {
		// Guard has logged a panic; the asker gets no answer.
		_ = n.cfg.Guard.Call("relay", func() {
			if n.ping(ctx, p.To, target, ackTimeout) {
				n.send(from, &sycapb.Packet{Kind: sycapb.Packet_KIND_ACK, Seq: p.Seq})
			}
		})
		return nil
	})
}

// expireSuspects declares those dead that were suspected for too long.
func (n *Node) expireSuspects() {
	n.mu.Lock()
	now := n.cfg.Now()
	var expired []*sycapb.MemberEntry
	for _, r := range n.members {
		if r.Entry.State == sycapb.MemberState_MEMBER_STATE_SUSPECT && now.Sub(r.UpdatedAt) > suspectTimeout {
			expired = append(expired, proto.Clone(r.Entry).(*sycapb.MemberEntry))
		}
	}
	n.mu.Unlock()
	for _, e := range expired {
		n.setState(e.Id, e, sycapb.MemberState_MEMBER_STATE_DEAD)
	}
}

// probeDead sends a packet with its own entry to one random member that is
// gone, so that a healed partition is noticed, the member refutes, and one
// that started again at its old address finds the others.
func (n *Node) probeDead() {
	n.mu.Lock()
	var dead []*Member
	for _, r := range n.members {
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

// PollRevision asks every member that is not known to have a policy revision for it;
// each answer carries the revision in force there.
func (n *Node) PollRevision(revision uint64) {
	n.mu.Lock()
	var to []netip.AddrPort
	for _, r := range n.members {
		if r.Revision < revision && r.Entry.State < sycapb.MemberState_MEMBER_STATE_DEAD {
			to = append(to, r.Addr)
		}
	}
	n.mu.Unlock()
	for _, addr := range to {
		n.send(addr, &sycapb.Packet{Kind: sycapb.Packet_KIND_PING})
	}
}

// Reachable reports whether the member with the ID answers one of reachAttempts
// packets sent straight to it.
func (n *Node) Reachable(ctx context.Context, id string) bool {
	n.mu.Lock()
	r, ok := n.members[id]
	n.mu.Unlock()
	if !ok {
		return false
	}
	for range reachAttempts {
		if n.ping(ctx, id, r.Addr, reachTimeout) {
			return true
		}
	}
	return false
}
