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

// sendsPerLog is the number of ticks for which news is sent, per doubling of the members.
const sendsPerLog = 2

// maxStrangers bounds the remembered senders that are not members.
const maxStrangers = 5

// sends returns for how many packets news is repeated among n members.
func sends(n int) int {
	return sendsPerLog * (bits.Len(uint(n)) + 1) * gossipFan / 2
}

// news holds the changed entries by ID.
type news struct {
	items map[string]*item
	// some is written to when there is news, for the loop that sends it.
	some chan struct{}
}

// notify wakes the loop that sends news.
func (w *news) notify() {
	select {
	case w.some <- struct{}{}:
	default:
	}
}

// item counts how often a changed entry was sent and is still to be sent.
type item struct {
	sent, left int
	// salt orders items that were sent equally often, differently at each node.
	salt uint64
}

func (w *news) add(id string, n int) {
	w.items[id] = &item{left: n, salt: rand.Uint64()}
	w.notify()
}

func (w *news) sent(id string) {
	it := w.items[id]
	it.sent++
	it.left--
	if it.left <= 0 {
		delete(w.items, id)
	}
}

// order returns the changed entries, those that were sent least first.
func (w *news) order() []string {
	return slices.SortedFunc(maps.Keys(w.items), func(a, b string) int {
		return cmp.Or(cmp.Compare(w.items[a].sent, w.items[b].sent), cmp.Compare(w.items[a].salt, w.items[b].salt))
	})
}

// gossipLoop sends news in packets gossipEvery apart, and sleeps while there is
// none.
func (n *Node) gossipLoop(ctx context.Context) error {
	t := time.NewTimer(gossipEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-n.news.some:
		}
		for n.hasNews() {
			t.Reset(gossipEvery)
			select {
			case <-ctx.Done():
				return nil
			case <-t.C:
				n.spread()
			}
		}
	}
}

// hasNews reports whether there is anything to send.
func (n *Node) hasNews() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.news.items) > 0 || n.announce > 0 || len(n.poisons) > 0
}

// spread sends the news, if there is any, to a few random members. News of
// members above newsRate waits for later ticks once newsBurst is used up, as
// after a start of the whole fleet; a policy revision and poison entries, which
// are few and small, do not wait for it.
func (n *Node) spread() {
	if !n.hasNews() {
		return
	}
	n.mu.Lock()
	to := n.pickSpread()
	n.mu.Unlock()
	for _, addr := range to {
		now := n.cfg.Now()
		if n.limit.TokensAt(now) > 0 {
			n.limit.ReserveN(now, n.send(addr, &sycapb.Packet{Kind: sycapb.Packet_KIND_GOSSIP}))
			continue
		}
		if !n.isUrgent() {
			return
		}
		n.sendWith(addr, &sycapb.Packet{Kind: sycapb.Packet_KIND_GOSSIP}, n.fillUrgent)
	}
}

// isUrgent reports whether there is news that must not wait.
func (n *Node) isUrgent() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.announce > 0 || len(n.poisons) > 0
}

// pickSpread returns the addresses of gossipFan random live members to tell the
// news: farFan of other zones and the rest of the own one, since bytes between
// zones are dear; where one kind is short, more of the other. The members of a
// zone together still tell each other zone often enough. n.mu is held.
func (n *Node) pickSpread() []netip.AddrPort {
	var near, far []netip.AddrPort
	for _, r := range n.rows {
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
	nears := min(len(near), max(gossipFan-farFan, gossipFan-len(far)))
	return append(near[:nears], far[:min(len(far), gossipFan-nears)]...)
}

func shuffle(addrs []netip.AddrPort) {
	rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
}

// pickLive returns the addresses of up to k random members that are not dead,
// other than the one named; n.mu is held.
func (n *Node) pickLive(k int, except string) []netip.AddrPort {
	live := make([]netip.AddrPort, 0, len(n.rows))
	for id, r := range n.rows {
		if id != except && r.Entry.State < sycapb.MemberState_MEMBER_STATE_DEAD {
			live = append(live, r.Addr)
		}
	}
	shuffle(live)
	return live[:min(k, len(live))]
}

// send fills a packet with news up to maxPacket and sends it. It returns the
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
	n.out += uint64(len(b))
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
	if n.announce > 0 {
		n.announce--
	}
}

// fill adds the sender, the revision and news; n.mu is held.
func (n *Node) fill(p *sycapb.Packet) {
	n.fillSender(p)
	size := proto.Size(p)
	for _, id := range n.news.order() {
		e := n.entry(id)
		if e == nil {
			delete(n.news.items, id)
			continue
		}
		size += proto.Size(e) + 4
		if size > maxPacket {
			return
		}
		p.Entries = append(p.Entries, e)
		n.news.sent(id)
	}
	n.fillPoisons(p, size)
}

func (n *Node) fillPoisons(p *sycapb.Packet, size int) {
	for fp, w := range n.poisons {
		size += proto.Size(w.entry) + 4
		if size > maxPacket {
			return
		}
		p.Poisons = append(p.Poisons, w.entry)
		w.left--
		if w.left <= 0 {
			delete(n.poisons, fp)
		}
	}
}

// receive handles packets until the socket closes.
func (n *Node) receive(ctx context.Context) error {
	b := make([]byte, 64<<10)
	for {
		size, _, err := n.conn.Read(b)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			continue
		}
		p := new(sycapb.Packet)
		if proto.Unmarshal(b[:size], p) != nil {
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
	n.evict(p.From, p.FromAddr)
	n.heard(p, size)
	for _, e := range p.Poisons {
		if n.cfg.Poison != nil {
			n.cfg.Poison(e)
		}
	}
	if n.cfg.Behind != nil && p.PolicyRevision > n.cfg.Revision() {
		n.cfg.Behind(from, p.PolicyRevision)
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
		n.acked(p.Seq)
	case sycapb.Packet_KIND_PINGREQ:
		n.relay(ctx, from, p)
	case sycapb.Packet_KIND_GOSSIP:
	}
}

// evict declares a member dead at whose address another one has just spoken.
func (n *Node) evict(from, addr string) {
	n.mu.Lock()
	var old []*sycapb.MemberEntry
	for id, r := range n.rows {
		if id != from && r.Entry.Addr == addr && r.Entry.State < sycapb.MemberState_MEMBER_STATE_DEAD {
			old = append(old, proto.Clone(r.Entry).(*sycapb.MemberEntry))
		}
	}
	n.mu.Unlock()
	for _, e := range old {
		n.setState(e.Id, e, sycapb.MemberState_MEMBER_STATE_DEAD)
	}
}

// heard notes the sender's revision, and tells a sender that is taken for
// dead or suspect so that it refutes.
func (n *Node) heard(p *sycapb.Packet, size int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.in += uint64(size)
	r, ok := n.rows[p.From]
	if !ok {
		n.noteStranger(p.FromAddr)
		n.news.add(n.self.Id, sends(len(n.rows)))
		return
	}
	r.Revision = max(r.Revision, p.PolicyRevision)
	if r.Entry.State != sycapb.MemberState_MEMBER_STATE_ALIVE && p.Kind != sycapb.Packet_KIND_ACK {
		n.news.add(p.From, sends(len(n.rows)))
	}
}

// noteStranger keeps the address of a sender that is not a member here; n.mu
// is held.
func (n *Node) noteStranger(from string) {
	addr, err := netip.ParseAddrPort(from)
	if err != nil || slices.Contains(n.strangers, addr) {
		return
	}
	n.strangers = append(n.strangers, addr)
	if len(n.strangers) > maxStrangers {
		n.strangers = n.strangers[1:]
	}
}

// Strangers returns the addresses of the latest senders that were not members
// here. A daemon that was restarted at its old address is probed by members
// that it does not know yet, and can ask them for the others.
func (n *Node) Strangers() []netip.AddrPort {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.strangers)
}
