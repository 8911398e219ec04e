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
	// ackTimeout is how long a direct probe waits for its ack.
	ackTimeout = 300 * time.Millisecond
	// reachAttempts is the number of probes that Reachable sends, reachTimeout the limit on each.
	reachAttempts = 2
	reachTimeout  = 120 * time.Millisecond
	// indirectTimeout is how long the probes through other members wait for an ack.
	indirectTimeout = 400 * time.Millisecond
	// indirectFanout is the number of members that probe on behalf of this one.
	indirectFanout = 3
	// suspectTimeout is the time within which a suspected member must refute the suspicion.
	suspectTimeout = 1500 * time.Millisecond
	// departedTTL is how long a member that died or left counts as departed, and is expected back.
	departedTTL = 20 * time.Second
	// departedPings is the number of pings that all members together send to a departed one in a probe
	// round.
	departedPings = 5
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
		n.pingDeparted()
		if round%deadProbeRounds == 0 {
			n.probeDead()
		}
		if e := n.nextToProbe(); e != nil {
			n.probe(ctx, e)
		}
	}
}

// nextToProbe returns the next member in a random order of all that are not
// dead, or nil if there is none.
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
		if m, ok := n.members[id]; ok && m.Entry.State < sycapb.MemberState_MEMBER_STATE_DEAD {
			return proto.Clone(m.Entry).(*sycapb.MemberEntry)
		}
	}
}

func (n *Node) shuffleProbeOrder() {
	for id, m := range n.members {
		if m.Entry.State < sycapb.MemberState_MEMBER_STATE_DEAD {
			n.probeOrder = append(n.probeOrder, id)
		}
	}
	rand.Shuffle(len(n.probeOrder), func(i, j int) { n.probeOrder[i], n.probeOrder[j] = n.probeOrder[j], n.probeOrder[i] })
}

// probe declares e suspect unless it acks a direct or an indirect probe.
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
	// If this node itself was paused, the lack of an ack says nothing about e.
	if ctx.Err() != nil || n.cfg.Now().Sub(start) > 2*(ackTimeout+indirectTimeout) {
		return
	}
	if n.setState(e.Id, e, sycapb.MemberState_MEMBER_STATE_SUSPECT) {
		n.gossip()
	}
}

// ping probes the member with an ID at its address and reports whether it acks
// within timeout.
func (n *Node) ping(ctx context.Context, id string, to netip.AddrPort, timeout time.Duration) bool {
	seq, acked := n.expectAck()
	defer n.forgetAck(seq)
	n.send(to, &sycapb.Packet{Kind: sycapb.Packet_KIND_PING, Seq: seq, To: id})
	return waitForAck(ctx, acked, timeout)
}

// pingIndirect probes e through other members and reports whether one of them
// got an ack in time.
func (n *Node) pingIndirect(ctx context.Context, e *sycapb.MemberEntry) bool {
	n.mu.Lock()
	relays := n.randomLive(indirectFanout, e.Id)
	n.mu.Unlock()
	seq, acked := n.expectAck()
	defer n.forgetAck(seq)
	for _, h := range relays {
		n.send(h, &sycapb.Packet{Kind: sycapb.Packet_KIND_PINGREQ, Seq: seq, Target: e.Addr, To: e.Id})
	}
	return waitForAck(ctx, acked, indirectTimeout)
}

func waitForAck(ctx context.Context, acked <-chan struct{}, timeout time.Duration) bool {
	t := time.NewTimer(timeout)
	defer t.Stop()
	select {
	case <-acked:
		return true
	case <-t.C:
	case <-ctx.Done():
	}
	return false
}

// pendingAck is a probe that is waiting for its ack.
type pendingAck struct {
	acked chan struct{}
	// sentAt is a time of Config.Clock, zero without one.
	sentAt time.Time
}

func (n *Node) expectAck() (uint64, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.seq++
	pending := pendingAck{acked: make(chan struct{}, 1)}
	if n.cfg.Clock != nil {
		pending.sentAt = n.cfg.Clock()
	}
	n.pendingAcks[n.seq] = pending
	return n.seq, pending.acked
}

func (n *Node) forgetAck(seq uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.pendingAcks, seq)
}

// handleAck ends the probe that an ack from addr belongs to. Only an ack can confirm a revision:
// other packets do not tell how long they were on their way, or were waiting while this machine
// was suspended.
func (n *Node) handleAck(addr netip.AddrPort, p *sycapb.Packet) {
	n.mu.Lock()
	pending, ok := n.pendingAcks[p.Seq]
	n.mu.Unlock()
	if !ok {
		return
	}
	if n.cfg.OnConfirmed != nil && p.PolicyAgeMs != nil {
		age := time.Duration(*p.PolicyAgeMs) * time.Millisecond
		n.cfg.OnConfirmed(addr, p.PolicyRevision, pending.sentAt.Add(-age))
	}
	if n.cfg.OnStoreEra != nil {
		n.cfg.OnStoreEra(decodeStoreEra(p.StoreEra, p.RestoreAgeMs))
	}
	select {
	case pending.acked <- struct{}{}:
	default:
	}
}

// relayPing probes a target on behalf of another member and relays the ack.
func (n *Node) relayPing(ctx context.Context, from netip.AddrPort, p *sycapb.Packet) {
	target, err := netip.ParseAddrPort(p.Target)
	if err != nil {
		return
	}
	n.tasks.Go(func() error {
		// Guard has logged a panic; the member that asked gets no ack.
		_ = n.cfg.Guard.Call("relay", func() {
			if n.ping(ctx, p.To, target, ackTimeout) {
				n.send(from, &sycapb.Packet{Kind: sycapb.Packet_KIND_ACK, Seq: p.Seq})
			}
		})
		return nil
	})
}

// expireSuspects declares dead the members that did not refute a suspicion
// within suspectTimeout.
func (n *Node) expireSuspects() {
	n.mu.Lock()
	now := n.cfg.Now()
	var expired []*sycapb.MemberEntry
	for _, m := range n.members {
		if m.Entry.State == sycapb.MemberState_MEMBER_STATE_SUSPECT && now.Sub(m.UpdatedAt) > suspectTimeout {
			expired = append(expired, proto.Clone(m.Entry).(*sycapb.MemberEntry))
		}
	}
	n.mu.Unlock()
	for _, e := range expired {
		n.setState(e.Id, e, sycapb.MemberState_MEMBER_STATE_DEAD)
	}
}

// pingDeparted pings the members that died or left within departedTTL, so that
// a daemon that restarts while the platform is unavailable soon finds the others.
func (n *Node) pingDeparted() {
	n.mu.Lock()
	now := n.cfg.Now()
	live := 1
	var departed []*Member
	for _, m := range n.members {
		switch {
		case m.Entry.State < sycapb.MemberState_MEMBER_STATE_DEAD:
			live++
		case now.Sub(m.UpdatedAt) <= departedTTL:
			departed = append(departed, m)
		}
	}
	packets := map[netip.AddrPort]*sycapb.Packet{}
	for _, m := range departed {
		if rand.Float64() < departedPings/float64(live) {
			packets[m.Addr] = n.pingOf(m)
		}
	}
	n.mu.Unlock()
	for addr, p := range packets {
		// Most of these are lost, so they carry no updates, which are sent a limited number of times.
		n.sendWith(addr, p, n.fillSender)
	}
}

// probeDead pings one random member that is dead or left. If a partition has
// healed, the member refutes.
func (n *Node) probeDead() {
	n.mu.Lock()
	var dead []*Member
	for _, m := range n.members {
		if m.Entry.State >= sycapb.MemberState_MEMBER_STATE_DEAD {
			dead = append(dead, m)
		}
	}
	if len(dead) == 0 {
		n.mu.Unlock()
		return
	}
	m := dead[rand.IntN(len(dead))]
	p := n.pingOf(m)
	n.mu.Unlock()
	n.send(m.Addr, p)
}

// pingOf returns a ping with the entries of a member and of this node. The member
// refutes its entry, or learns the address of this node if it restarted. The
// caller must hold n.mu.
func (n *Node) pingOf(m *Member) *sycapb.Packet {
	return &sycapb.Packet{Kind: sycapb.Packet_KIND_PING, To: m.Entry.Id, Entries: []*sycapb.MemberEntry{
		proto.Clone(m.Entry).(*sycapb.MemberEntry),
		proto.Clone(n.self).(*sycapb.MemberEntry),
	}}
}

// PollRevision pings every live member that has not reported a policy revision
// of at least revision. Each ack carries the revision in force there.
func (n *Node) PollRevision(revision uint64) {
	n.mu.Lock()
	var to []netip.AddrPort
	for _, m := range n.members {
		if m.Revision < revision && m.Entry.State < sycapb.MemberState_MEMBER_STATE_DEAD {
			to = append(to, m.Addr)
		}
	}
	n.mu.Unlock()
	for _, addr := range to {
		n.send(addr, &sycapb.Packet{Kind: sycapb.Packet_KIND_PING})
	}
}

// Reachable reports whether the member with the ID acks one of reachAttempts
// direct probes.
func (n *Node) Reachable(ctx context.Context, id string) bool {
	n.mu.Lock()
	m, ok := n.members[id]
	n.mu.Unlock()
	if !ok {
		return false
	}
	for range reachAttempts {
		if n.ping(ctx, id, m.Addr, reachTimeout) {
			return true
		}
	}
	return false
}
