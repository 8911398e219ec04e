package member

import (
	"cmp"
	"context"
	"maps"
	"math/bits"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"sycamorespread.dev/sycapb"
)

// retransmitMult is the number of ticks for which news is sent, per doubling of the members.
const retransmitMult = 2

// maxUnknownSenders bounds the remembered senders that are not members.
const maxUnknownSenders = 5

// transmitLimit returns for how many packets news is repeated among n members.
func transmitLimit(n int) int {
	return retransmitMult * (bits.Len(uint(n)) + 1) * gossipFanout / 2
}

// updateQueue holds the changed entries by ID.
type updateQueue struct {
	items map[string]*update
	// ready is written to when there is news, for the loop that sends it.
	ready chan struct{}
}

// notify wakes the loop that sends news.
func (w *updateQueue) notify() {
	select {
	case w.ready <- struct{}{}:
	default:
	}
}

// update counts how often a changed entry was sent and is still to be sent.
type update struct {
	sends, remaining int
	// tieBreak orders items that were sent equally often, differently at each node.
	tieBreak uint64
}

func (w *updateQueue) add(id string, n int) {
	w.items[id] = &update{remaining: n, tieBreak: rand.Uint64()}
	w.notify()
}

func (w *updateQueue) markSent(id string) {
	it := w.items[id]
	it.sends++
	it.remaining--
	if it.remaining <= 0 {
		delete(w.items, id)
	}
}

// leastSentFirst returns the changed entries, those that were sent least first.
func (w *updateQueue) leastSentFirst() []string {
	return slices.SortedFunc(maps.Keys(w.items), func(a, b string) int {
		return cmp.Or(cmp.Compare(w.items[a].sends, w.items[b].sends), cmp.Compare(w.items[a].tieBreak, w.items[b].tieBreak))
	})
}

// gossipLoop sends news in packets gossipInterval apart, and sleeps while there is
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

// gossip sends the news, if there is any, to a few random members. News of
// members above gossipRate waits for later ticks once gossipBurst is used up, as
// after a start of the whole fleet; a policy revision and poison entries, which
// are few and small, do not wait for it.
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

// hasUrgent reports whether there is news that must not wait.
func (n *Node) hasUrgent() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.revisionSends > 0 || len(n.poisons) > 0
}

// pickGossipTargets returns the addresses of gossipFanout random live members to tell the
// news: crossZoneFanout of other zones and the rest of the own one, since bytes between
// zones are dear; where one kind is short, more of the other. The members of a
// zone together still tell each other zone often enough. n.mu is held.
func (n *Node) pickGossipTargets() []netip.AddrPort {
	var near, far []netip.AddrPort
	for _, r := range n.members {
		switch {
		case r.Entry.State >= sycapb.MemberState_MEMBER_STATE_DEAD:
		case r.Entry.Zone == n.self.Zone:
			near = append(near, r.Addr)
		default:
			far = append(far, r.Addr)
		}
	}
	shuffle(near)
	shuffle(far)
	nears := min(len(near), max(gossipFanout-crossZoneFanout, gossipFanout-len(far)))
	return append(near[:nears], far[:min(len(far), gossipFanout-nears)]...)
}

func shuffle(addrs []netip.AddrPort) {
	rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
}

// randomLive returns the addresses of up to k random members that are not dead,
// other than the one named; n.mu is held.
func (n *Node) randomLive(k int, except string) []netip.AddrPort {
	live := make([]netip.AddrPort, 0, len(n.members))
	for id, r := range n.members {
		if id != except && r.Entry.State < sycapb.MemberState_MEMBER_STATE_DEAD {
			live = append(live, r.Addr)
		}
	}
	shuffle(live)
	return live[:min(k, len(live))]
}

// send fills a packet with news up to maxPacketSize and sends it. It returns the
// bytes sent.
func (n *Node) send(to netip.AddrPort, p *sycapb.Packet) int {
	return n.sendWith(to, p, n.fill)
}

// sendWith sends a packet that fill completes under the lock, and returns the
// bytes sent.
func (n *Node) sendWith(to netip.AddrPort, p *sycapb.Packet, fill func(*sycapb.Packet)) int {
	n.mu.Lock()
	fill(p)
	b, err := proto.Marshal(p)
	n.bytesOut += uint64(len(b))
	n.mu.Unlock()
	if err != nil {
		return 0
	}
	// A lost packet is made up for by later ones.
	_ = n.conn.Write(b, to)
	return len(b)
}

// fillUrgent adds the sender, the revision and poison entries; n.mu is held.
func (n *Node) fillUrgent(p *sycapb.Packet) {
	n.fillSender(p)
	n.fillPoisons(p, proto.Size(p))
}

// fillSender adds the sender and the revision; n.mu is held.
func (n *Node) fillSender(p *sycapb.Packet) {
	p.From = n.self.Id
	p.FromAddr = n.self.Addr
	p.PolicyRevision = n.cfg.Revision()
	if n.revisionSends > 0 {
		n.revisionSends--
	}
}

// fill adds the sender, the revision and news; n.mu is held.
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
		if size > maxPacketSize {
			return
		}
		p.Entries = append(p.Entries, e)
		n.updates.markSent(id)
	}
	n.fillPoisons(p, size)
}

func (n *Node) fillPoisons(p *sycapb.Packet, size int) {
	for fp, w := range n.poisons {
		size += proto.Size(w.entry) + 4
		if size > maxPacketSize {
			return
		}
		p.Poisons = append(p.Poisons, w.entry)
		w.remaining--
		if w.remaining <= 0 {
			delete(n.poisons, fp)
		}
	}
}

// receive handles packets until the socket closes.
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
		// The next packet may be sound.
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
			// The probe is for a member that had this address before.
			kind = sycapb.Packet_KIND_GOSSIP
		}
		n.send(from, &sycapb.Packet{Kind: kind, Seq: p.Seq})
	case sycapb.Packet_KIND_ACK:
		n.handleAck(p.Seq)
	case sycapb.Packet_KIND_PINGREQ:
		n.relayPing(ctx, from, p)
	case sycapb.Packet_KIND_GOSSIP:
	}
}

// evictAddr declares a member dead at whose address another one has just spoken.
func (n *Node) evictAddr(from, addr string) {
	n.mu.Lock()
	var old []*sycapb.MemberEntry
	for id, r := range n.members {
		if id != from && r.Entry.Addr == addr && r.Entry.State < sycapb.MemberState_MEMBER_STATE_DEAD {
			old = append(old, proto.Clone(r.Entry).(*sycapb.MemberEntry))
		}
	}
	n.mu.Unlock()
	for _, e := range old {
		n.setState(e.Id, e, sycapb.MemberState_MEMBER_STATE_DEAD)
	}
}

// recordSender notes the sender's revision, and tells a sender that is taken for
// dead or suspect so that it refutes.
func (n *Node) recordSender(p *sycapb.Packet, size int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.bytesIn += uint64(size)
	r, ok := n.members[p.From]
	if !ok {
		n.addUnknownSender(p.FromAddr)
		n.updates.add(n.self.Id, transmitLimit(len(n.members)))
		return
	}
	r.Revision = max(r.Revision, p.PolicyRevision)
	if r.Entry.State != sycapb.MemberState_MEMBER_STATE_ALIVE && p.Kind != sycapb.Packet_KIND_ACK {
		n.updates.add(p.From, transmitLimit(len(n.members)))
	}
}

// addUnknownSender keeps the address of a sender that is not a member here; n.mu
// is held.
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

// UnknownSenders returns the addresses of the latest senders that were not members
// here. A daemon that was restarted at its old address is probed by members
// that it does not know yet, and can ask them for the others.
func (n *Node) UnknownSenders() []netip.AddrPort {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.unknownSenders)
}
