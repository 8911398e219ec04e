// Package member keeps the list of daemons without a server list.
//
// Each daemon announces itself. A Node probes one random member a second over
// UDP, directly and then through others; a member that does not answer is
// suspected, told so by gossip, and dead unless it refutes in time. News
// travels at once to a few random members on every gossip tick and rides on
// the probes. An exchange of zone digests with a random member now and then
// mends what packets lost, and healed partitions.
//
// An entry is ordered by incarnation, then epoch, then state: a member alone
// raises its epoch, to refute a suspicion or to announce that it leaves; the
// others alone move its state, within an epoch.
//
//	n := member.New(cfg, conn)
//	n.Join(ctx, seeds)
//	err := n.Run(ctx)
package member

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"
	"google.golang.org/protobuf/proto"

	"sycamorespread.dev/guard"
	"sycamorespread.dev/sycapb"
)

const (
	// DefaultProbe is the time between two probes of a node.
	DefaultProbe = time.Second
	// gossipEvery is the time between two packets of news to the same number of members.
	gossipEvery = 100 * time.Millisecond
	// gossipFan is the number of members that get the news in a tick.
	gossipFan = 3
	// farFan is how many of them are of other zones.
	farFan = 1
	// syncEvery is the time between two exchanges with a random member.
	syncEvery = 15 * time.Second
	// deadKeep is how long a dead member is remembered and probed.
	deadKeep = 2 * time.Hour
	// leftKeep is how long a member that left is remembered.
	leftKeep = time.Minute
	// maxPacket is the largest UDP payload sent, in bytes.
	maxPacket = 1300
	// newsRate bounds the news sent on gossip ticks in the long run, in bytes per second; probes and their answers carry up to as much again.
	newsRate = 2500
	// newsBurst is what may be sent at once beyond it, in bytes; it lets a lost zone through.
	newsBurst = 256 << 10
)

// Config holds what a Node needs.
type Config struct {
	// Self is this daemon's entry; incarnation must be set.
	Self *sycapb.MemberEntry
	// Probe is the time between two probes.
	Probe time.Duration
	// Now reads the clock.
	Now func() time.Time
	// Revision returns the policy revision in force here.
	Revision func() uint64
	// Behind is called when a packet shows a higher revision at addr.
	Behind func(addr netip.AddrPort, revision uint64)
	// Poison is called with each entry heard.
	Poison func(*sycapb.PoisonEntry)
	// Changed is called after the list changed. It must not block.
	Changed func()
	// Exchange sends a SyncRequest to the daemon at addr.
	Exchange func(ctx context.Context, addr netip.AddrPort, req *sycapb.SyncRequest) (*sycapb.SyncReply, error)
	// Guard keeps a panic over one packet or task from ending the process; nil for none.
	Guard *guard.Guard
}

// Conn is the part of a UDP socket that a Node uses.
type Conn struct {
	// Read blocks for one packet.
	Read func(b []byte) (n int, from netip.AddrPort, err error)
	// Write sends one packet.
	Write func(b []byte, to netip.AddrPort) error
	// Close makes Read return.
	Close func() error
}

// Row is one member as this node sees it.
type Row struct {
	Entry *sycapb.MemberEntry
	// Addr is where the member takes UDP and drpc.
	Addr netip.AddrPort
	// Since is when the state last changed here.
	Since time.Time
	// Revision is the policy revision last heard from the member.
	Revision uint64
}

// Node is one daemon's membership. It is safe for concurrent use.
type Node struct {
	cfg  Config
	conn Conn

	mu       sync.Mutex
	self     *sycapb.MemberEntry
	id       string
	rows     map[string]*Row
	news     news
	poisons  map[uint64]*poisonNews
	announce int
	order    []string
	seq      uint64
	acks     map[uint64]chan struct{}
	in, out  uint64
	// strangers are senders that are not members.
	strangers []netip.AddrPort
	// limit counts the bytes of gossip ticks.
	limit *rate.Limiter
	// relays holds the probes for others and the exchanges of a join.
	relays errgroup.Group
}

type poisonNews struct {
	entry *sycapb.PoisonEntry
	left  int
}

// New returns a node that has not started.
func New(cfg Config, conn Conn) *Node {
	n := &Node{
		cfg:     cfg,
		conn:    conn,
		self:    proto.Clone(cfg.Self).(*sycapb.MemberEntry),
		id:      cfg.Self.Id,
		rows:    map[string]*Row{},
		poisons: map[uint64]*poisonNews{},
		acks:    map[uint64]chan struct{}{},
		news:    news{items: map[string]*item{}, some: make(chan struct{}, 1)},
		limit:   rate.NewLimiter(newsRate, newsBurst),
	}
	n.news.add(n.self.Id, sends(1))
	return n
}

// Run receives, probes, gossips and exchanges until ctx ends.
func (n *Node) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return n.cfg.Guard.Loop(ctx, "receive", n.receive) })
	g.Go(func() error { return n.cfg.Guard.Loop(ctx, "probe", n.probeLoop) })
	g.Go(func() error { return n.cfg.Guard.Loop(ctx, "gossip", n.gossipLoop) })
	g.Go(func() error { return n.cfg.Guard.Loop(ctx, "sync", n.syncLoop) })
	g.Go(func() error {
		<-ctx.Done()
		return n.conn.Close()
	})
	err := g.Wait()
	return errors.Join(err, n.relays.Wait())
}

// Self returns a copy of this daemon's own entry.
func (n *Node) Self() *sycapb.MemberEntry {
	n.mu.Lock()
	defer n.mu.Unlock()
	return proto.Clone(n.self).(*sycapb.MemberEntry)
}

// Rows returns copies of all other members, also dead ones.
func (n *Node) Rows() []Row {
	n.mu.Lock()
	defer n.mu.Unlock()
	rows := make([]Row, 0, len(n.rows))
	for _, r := range n.rows {
		c := *r
		c.Entry = proto.Clone(r.Entry).(*sycapb.MemberEntry)
		rows = append(rows, c)
	}
	return rows
}

// Visit calls f for each other member, also dead ones. It copies nothing; f must
// not keep or change the entry, nor call the Node.
func (n *Node) Visit(f func(e *sycapb.MemberEntry, addr netip.AddrPort)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, r := range n.rows {
		f(r.Entry, r.Addr)
	}
}

// Count returns how many other members, also dead ones, f holds for. It copies
// nothing; f must not keep or change the entry.
func (n *Node) Count(f func(*sycapb.MemberEntry) bool) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	count := 0
	for _, r := range n.rows {
		if f(r.Entry) {
			count++
		}
	}
	return count
}

// Len returns the number of other members, also dead ones.
func (n *Node) Len() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.rows)
}

// Traffic returns the bytes received and sent since the start.
func (n *Node) Traffic() (in, out uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.in, n.out
}

// Update changes this daemon's own entry and announces it.
func (n *Node) Update(change func(*sycapb.MemberEntry)) {
	n.mu.Lock()
	change(n.self)
	n.self.Epoch++
	n.news.add(n.self.Id, sends(len(n.rows)))
	n.mu.Unlock()
	n.spread()
}

// AnnounceRevision tells the members of a new policy revision.
func (n *Node) AnnounceRevision() {
	n.mu.Lock()
	n.announce = sends(len(n.rows))
	n.news.notify()
	n.mu.Unlock()
	n.spread()
}

// AnnouncePoison tells the members of a changed poison entry.
func (n *Node) AnnouncePoison(e *sycapb.PoisonEntry) {
	n.mu.Lock()
	n.poisons[e.Fingerprint] = &poisonNews{entry: e, left: sends(len(n.rows))}
	n.news.notify()
	n.mu.Unlock()
	n.spread()
}
