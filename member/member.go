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
	// DefaultProbeInterval is the time between two probes of a node.
	DefaultProbeInterval = time.Second
	// gossipInterval is the time between two packets of news to the same number of members.
	gossipInterval = 100 * time.Millisecond
	// gossipFanout is the number of members that get the news in a tick.
	gossipFanout = 3
	// crossZoneFanout is how many of them are of other zones.
	crossZoneFanout = 1
	// syncInterval is the time between two exchanges with a random member.
	syncInterval = 15 * time.Second
	// deadTTL is how long a dead member is remembered and probed.
	deadTTL = 2 * time.Hour
	// leftTTL is how long a member that left is remembered.
	leftTTL = time.Minute
	// maxPacketSize is the largest UDP payload sent, in bytes.
	maxPacketSize = 1300
	// gossipRate bounds the news sent on gossip ticks in the long run, in bytes per second; probes and their answers carry up to as much again.
	gossipRate = 2500
	// gossipBurst is what may be sent at once beyond it, in bytes; it lets a lost zone through.
	gossipBurst = 256 << 10
)

// Config holds what a Node needs.
type Config struct {
	// Self is this daemon's entry; incarnation must be set.
	Self *sycapb.MemberEntry
	// ProbeInterval is the time between two probes.
	ProbeInterval time.Duration
	// Now reads the clock.
	Now func() time.Time
	// Revision returns the policy revision in force here.
	Revision func() uint64
	// OnNewerRevision is called when a packet shows a higher revision at addr.
	OnNewerRevision func(addr netip.AddrPort, revision uint64)
	// OnPoison is called with each entry heard.
	OnPoison func(*sycapb.PoisonEntry)
	// OnChange is called after the list changed. It must not block.
	OnChange func()
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

// Member is one member as this node sees it.
type Member struct {
	Entry *sycapb.MemberEntry
	// Addr is where the member takes UDP and drpc.
	Addr netip.AddrPort
	// UpdatedAt is when the state last changed here.
	UpdatedAt time.Time
	// Revision is the policy revision last heard from the member.
	Revision uint64
}

// Node is one daemon's membership. It is safe for concurrent use.
type Node struct {
	cfg  Config
	conn Conn

	mu                sync.Mutex
	self              *sycapb.MemberEntry
	id                string
	members           map[string]*Member
	updates           updateQueue
	poisons           map[uint64]*poisonUpdate
	revisionSends     int
	probeOrder        []string
	seq               uint64
	pendingAcks       map[uint64]chan struct{}
	bytesIn, bytesOut uint64
	// unknownSenders are senders that are not members.
	unknownSenders []netip.AddrPort
	// limiter counts the bytes of gossip ticks.
	limiter *rate.Limiter
	// tasks holds the probes for others and the exchanges of a join.
	tasks errgroup.Group
}

type poisonUpdate struct {
	entry     *sycapb.PoisonEntry
	remaining int
}

// New returns a node that has not started.
func New(cfg Config, conn Conn) *Node {
	n := &Node{
		cfg:         cfg,
		conn:        conn,
		self:        proto.Clone(cfg.Self).(*sycapb.MemberEntry),
		id:          cfg.Self.Id,
		members:     map[string]*Member{},
		poisons:     map[uint64]*poisonUpdate{},
		pendingAcks: map[uint64]chan struct{}{},
		updates:     updateQueue{items: map[string]*update{}, ready: make(chan struct{}, 1)},
		limiter:     rate.NewLimiter(gossipRate, gossipBurst),
	}
	n.updates.add(n.self.Id, transmitLimit(1))
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
	return errors.Join(err, n.tasks.Wait())
}

// Self returns a copy of this daemon's own entry.
func (n *Node) Self() *sycapb.MemberEntry {
	n.mu.Lock()
	defer n.mu.Unlock()
	return proto.Clone(n.self).(*sycapb.MemberEntry)
}

// Members returns copies of all other members, also dead ones.
func (n *Node) Members() []Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	rows := make([]Member, 0, len(n.members))
	for _, r := range n.members {
		c := *r
		c.Entry = proto.Clone(r.Entry).(*sycapb.MemberEntry)
		rows = append(rows, c)
	}
	return rows
}

// ForEach calls f for each other member, also dead ones. It copies nothing; f must
// not keep or change the entry, nor call the Node.
func (n *Node) ForEach(f func(e *sycapb.MemberEntry, addr netip.AddrPort)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, r := range n.members {
		f(r.Entry, r.Addr)
	}
}

// Count returns how many other members, also dead ones, f holds for. It copies
// nothing; f must not keep or change the entry.
func (n *Node) Count(f func(*sycapb.MemberEntry) bool) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	count := 0
	for _, r := range n.members {
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
	return len(n.members)
}

// Traffic returns the bytes received and sent since the start.
func (n *Node) Traffic() (in, out uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.bytesIn, n.bytesOut
}

// UpdateSelf changes this daemon's own entry and announces it.
func (n *Node) UpdateSelf(change func(*sycapb.MemberEntry)) {
	n.mu.Lock()
	change(n.self)
	n.self.Epoch++
	n.updates.add(n.self.Id, transmitLimit(len(n.members)))
	n.mu.Unlock()
	n.gossip()
}

// AnnounceRevision tells the members of a new policy revision.
func (n *Node) AnnounceRevision() {
	n.mu.Lock()
	n.revisionSends = transmitLimit(len(n.members))
	n.updates.notify()
	n.mu.Unlock()
	n.gossip()
}

// AnnouncePoison tells the members of a changed poison entry.
func (n *Node) AnnouncePoison(e *sycapb.PoisonEntry) {
	n.mu.Lock()
	n.poisons[e.Fingerprint] = &poisonUpdate{entry: e, remaining: transmitLimit(len(n.members))}
	n.updates.notify()
	n.mu.Unlock()
	n.gossip()
}
