package member

import (
	"cmp"
	"context"
	"maps"
	"math"
	"math/bits"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"sycamorespread.dev/sycapb"
)

// retransmitMult is the number of gossip ticks for which an update is sent, per doubling of the members.
const retransmitMult = 2

// maxUnknownSenders bounds Node.unknownSenders.
const maxUnknownSenders = 5

// transmitLimit returns the number of packets that carry an update among n members.
func transmitLimit(n int) int {
	return retransmitMult * (bits.Len(uint(n)) + 1) * gossipFanout / 2
}

// updateQueue holds the entries to gossip by member ID.
type updateQueue struct {
	items map[string]*update
	// ready signals gossipLoop that there are updates.
	ready chan struct{}
}

// notify wakes gossipLoop.
func (q *updateQueue) notify() {
	select {
	case q.ready <- struct{}{}:
	default:
	}
}

// update counts the transmissions of an entry, past and remaining.
type update struct {
	sends, remaining int
	// tieBreak orders updates that were sent equally often, differently at each node.
	tieBreak uint64
}

func (q *updateQueue) add(id string, n int) {
	q.items[id] = &update{remaining: n, tieBreak: rand.Uint64()}
	q.notify()
}

func (q *updateQueue) markSent(id string) {
	u := q.items[id]
	u.sends++
	u.remaining--
	if u.remaining <= 0 {
		delete(q.items, id)
	}
}

// leastSentFirst returns the IDs of the queued entries, ordered by transmissions.
func (q *updateQueue) leastSentFirst() []string {
	return slices.SortedFunc(maps.Keys(q.items), func(a, b string) int {
		return cmp.Or(cmp.Compare(q.items[a].sends, q.items[b].sends), cmp.Compare(q.items[a].tieBreak, q.items[b].tieBreak))
	})
}

// gossipLoop sends updates every gossipInterval, and sleeps while there are
// none.
func (n *Node) gossipLoop(ctx context.Context) error {
	t := time.NewTimer(gossipInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-n.updates.ready:
		}
		for n.hasUpdates() {
			t.Reset(gossipInterval)
			select {
			case <-ctx.Done():
				return nil
			case <-t.C:
				n.gossip()
			}
		}
	}
}

// hasUpdates reports whether there is anything to send.
func (n *Node) hasUpdates() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.updates.items) > 0 || n.revisionSends > 0 || len(n.poisons) > 0
}

// gossip sends the queued updates, if any, to a few random members. Once
// gossipBurst is used up, as after a start of the whole fleet, member updates
// above gossipRate wait for later ticks. A policy revision and poison entries
// are few and small, and are exempt from the limit.
func (n *Node) gossip() {
	if !n.hasUpdates() {
		return
	}
	n.mu.Lock()
	to := n.pickGossipTargets()
	n.mu.Unlock()
	for _, addr := range to {
		now := n.cfg.Now()
		if n.limiter.TokensAt(now) > 0 {
			n.limiter.ReserveN(now, n.send(addr, &sycapb.Packet{Kind: sycapb.Packet_KIND_GOSSIP}))
			continue
		}
		if !n.hasUrgent() {
			return
		}
		n.sendWith(addr, &sycapb.Packet{Kind: sycapb.Packet_KIND_GOSSIP}, n.fillUrgent)
	}
}

// hasUrgent reports whether there are updates that are exempt from the rate limit.
func (n *Node) hasUrgent() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.revisionSends > 0 || len(n.poisons) > 0
}

// pickGossipTargets returns the addresses of gossipFanout random live members:
// crossZoneFanout in other zones and the rest in the local one, since traffic
// between zones is expensive. If there are too few of one kind, it returns more
// of the other. The members of a zone together still send to every other zone
// often enough. The caller must hold n.mu.
func (n *Node) pickGossipTargets() []netip.AddrPort {
	var local, remote []netip.AddrPort
	for _, m := range n.members {
		switch {
		case m.Entry.State >= sycapb.MemberState_MEMBER_STATE_DEAD:
		case m.Entry.Zone == n.self.Zone:
			local = append(local, m.Addr)
		default:
			remote = append(remote, m.Addr)
		}
	}
	shuffle(local)
	shuffle(remote)
	localCount := min(len(local), max(gossipFanout-crossZoneFanout, gossipFanout-len(remote)))
	return append(local[:localCount], remote[:min(len(remote), gossipFanout-localCount)]...)
}

func shuffle(addrs []netip.AddrPort) {
	rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
}

// randomLive returns the addresses of up to k random members that are not dead,
// other than the one with the ID except. The caller must hold n.mu.
func (n *Node) randomLive(k int, except string) []netip.AddrPort {
	live := make([]netip.AddrPort, 0, len(n.members))
	for id, m := range n.members {
		if id != except && m.Entry.State < sycapb.MemberState_MEMBER_STATE_DEAD {
			live = append(live, m.Addr)
		}
	}
	shuffle(live)
	return live[:min(k, len(live))]
}

// send fills a packet with updates up to maxPacketBytes and sends it. It returns
// the number of bytes sent.
func (n *Node) send(to netip.AddrPort, p *sycapb.Packet) int {
	return n.sendWith(to, p, n.fill)
}

// sendWith sends a packet that fill completes while n.mu is held. It returns the
// number of bytes sent.
func (n *Node) sendWith(to netip.AddrPort, p *sycapb.Packet, fill func(*sycapb.Packet)) int {
	n.mu.Lock()
	fill(p)
	b, err := proto.Marshal(p)
	n.bytesOut += uint64(len(b))
	n.mu.Unlock()
	if err != nil {
		return 0
	}
	// Later packets make up for a lost one.
	_ = n.conn.Write(b, to)
	return len(b)
}

// fillUrgent adds the sender, the revision and poison entries. The caller must
// hold n.mu.
func (n *Node) fillUrgent(p *sycapb.Packet) {
	n.fillSender(p)
	n.fillPoisons(p, proto.Size(p))
}

// fillSender adds the sender and the revision. The caller must hold n.mu.
func (n *Node) fillSender(p *sycapb.Packet) {
	p.From = n.self.Id
	p.FromAddr = n.self.Addr
	p.PolicyRevision = n.cfg.Revision()
	if p.Kind == sycapb.Packet_KIND_ACK && n.cfg.PolicyAge != nil {
		if age, ok := n.cfg.PolicyAge(p.PolicyRevision); ok {
			p.PolicyAgeMs = proto.Uint32(uint32(min(math.MaxUint32, age/time.Millisecond+1)))
		}
	}
	if p.Kind == sycapb.Packet_KIND_ACK && n.cfg.StoreEra != nil {
		e := n.cfg.StoreEra()
		p.StoreEra, p.RestoreAgeMs = e.Era, e.ageMs()
	}
	if n.revisionSends > 0 {
		n.revisionSends--
	}
}

// fill adds the sender, the revision, member updates and poison entries. The
// caller must hold n.mu.
func (n *Node) fill(p *sycapb.Packet) {
	n.fillSender(p)
	size := proto.Size(p)
	for _, id := range n.updates.leastSentFirst() {
		e := n.entry(id)
		if e == nil {
			delete(n.updates.items, id)
			continue
		}
		size += proto.Size(e) + 4
		if size > maxPacketBytes {
			return
		}
		p.Entries = append(p.Entries, e)
		n.updates.markSent(id)
	}
	n.fillPoisons(p, size)
}

func (n *Node) fillPoisons(p *sycapb.Packet, size int) {
	for fp, u := range n.poisons {
		size += proto.Size(u.entry) + 4
		if size > maxPacketBytes {
			return
		}
		p.Poisons = append(p.Poisons, u.entry)
		u.remaining--
		if u.remaining <= 0 {
			delete(n.poisons, fp)
		}
	}
}

// receive handles packets until ctx is done.
func (n *Node) receive(ctx context.Context) error {
	buf := make([]byte, 64<<10)
	for {
		size, _, err := n.conn.Read(buf)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			continue
		}
		p := new(sycapb.Packet)
		if proto.Unmarshal(buf[:size], p) != nil {
			continue
		}
		// Guard has logged a panic; later packets may be valid.
		_ = n.cfg.Guard.Call("packet", func() { n.handle(ctx, p, size) })
	}
}

func (n *Node) handle(ctx context.Context, p *sycapb.Packet, size int) {
	from, err := netip.ParseAddrPort(p.FromAddr)
	if err != nil {
		return
	}
	n.Merge(p.Entries)
	n.evictAddr(p.From, p.FromAddr)
	n.recordSender(p, size)
	for _, e := range p.Poisons {
		if n.cfg.OnPoison != nil {
			n.cfg.OnPoison(e)
		}
	}
	if n.cfg.OnNewerRevision != nil && p.PolicyRevision > n.cfg.Revision() {
		n.cfg.OnNewerRevision(from, p.PolicyRevision)
	}
	switch p.Kind {
	case sycapb.Packet_KIND_PING:
		kind := sycapb.Packet_KIND_ACK
		if p.To != "" && p.To != n.id {
			// The probe is for another member that had this address before. An ack would keep it alive.
			kind = sycapb.Packet_KIND_GOSSIP
		}
		n.send(from, &sycapb.Packet{Kind: kind, Seq: p.Seq})
	case sycapb.Packet_KIND_ACK:
		n.handleAck(from, p)
	case sycapb.Packet_KIND_PINGREQ:
		n.relayPing(ctx, from, p)
	case sycapb.Packet_KIND_GOSSIP:
	}
}

// evictAddr declares dead the members other than from that have the address
// addr, since from just sent a packet with it.
func (n *Node) evictAddr(from, addr string) {
	n.mu.Lock()
	var evicted []*sycapb.MemberEntry
	for id, m := range n.members {
		if id != from && m.Entry.Addr == addr && m.Entry.State < sycapb.MemberState_MEMBER_STATE_DEAD {
			evicted = append(evicted, proto.Clone(m.Entry).(*sycapb.MemberEntry))
		}
	}
	n.mu.Unlock()
	for _, e := range evicted {
		n.setState(e.Id, e, sycapb.MemberState_MEMBER_STATE_DEAD)
	}
}

// recordSender records the sender's revision. If this node has the sender as
// dead or suspect, it queues that entry so that the sender refutes it. If the
// sender is not a member, it records the address and queues the own entry.
func (n *Node) recordSender(p *sycapb.Packet, size int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.bytesIn += uint64(size)
	m, ok := n.members[p.From]
	if !ok {
		n.addUnknownSender(p.FromAddr)
		n.updates.add(n.self.Id, transmitLimit(len(n.members)))
		return
	}
	m.Revision = max(m.Revision, p.PolicyRevision)
	if m.Entry.State != sycapb.MemberState_MEMBER_STATE_ALIVE && p.Kind != sycapb.Packet_KIND_ACK {
		n.updates.add(p.From, transmitLimit(len(n.members)))
	}
}

// addUnknownSender records the address of a sender that is not a member. The
// caller must hold n.mu.
func (n *Node) addUnknownSender(from string) {
	addr, err := netip.ParseAddrPort(from)
	if err != nil || slices.Contains(n.unknownSenders, addr) {
		return
	}
	n.unknownSenders = append(n.unknownSenders, addr)
	if len(n.unknownSenders) > maxUnknownSenders {
		n.unknownSenders = n.unknownSenders[1:]
	}
}

// UnknownSenders returns the addresses of the latest senders that were not
// members. A daemon that restarted at its old address is probed by members that
// it does not know yet, and can ask them for the rest.
func (n *Node) UnknownSenders() []netip.AddrPort {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.unknownSenders)
}
