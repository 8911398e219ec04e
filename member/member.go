// Package member implements SWIM-style gossip membership among daemons. It
// needs no configured list of servers.
//
// Each daemon announces its own entry. A Node probes one random member a second
// over UDP, first directly and then through other members. A member that does
// not respond becomes suspect, learns so by gossip, and is declared dead unless
// it refutes the suspicion in time. Updates are sent to a few random members on
// every gossip tick and are piggybacked on probes. A periodic exchange of zone
// digests with a random member (anti-entropy) repairs what lost packets and
// network partitions left out of date.
//
// Entries of a member are ordered by incarnation, then epoch, then state. Only
// the member itself raises its epoch, to refute a suspicion or to announce a
// change such as leaving. Only other members change its state within an epoch.
//
//	n := member.New(cfg, conn)
//	n.Join(ctx, seeds)
//	err := n.Run(ctx)
package member

import (
	"context"
	"errors"
	"math"
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
	// gossipInterval is the time between two gossip ticks.
	gossipInterval = 100 * time.Millisecond
	// gossipFanout is the number of members that get a packet in a gossip tick.
	gossipFanout = 3
	// crossZoneFanout is how many of them are in other zones.
	crossZoneFanout = 1
	// syncInterval is the mean time between two exchanges with a random member.
	syncInterval = 15 * time.Second
	// deadTTL is how long a dead member is kept and probed.
	deadTTL = 2 * time.Hour
	// leftTTL is how long a member that left is kept.
	leftTTL = time.Minute
	// maxPacketBytes is the size of the largest UDP payload sent.
	maxPacketBytes = 1300
	// gossipRate is the sustained limit of member updates sent on gossip ticks, in bytes per second.
	// Probes and their acks carry up to as much again.
	gossipRate = 2500
	// gossipBurst is the burst above gossipRate, in bytes. It suffices for the updates when a whole
	// zone is lost.
	gossipBurst = 256 << 10
)

// Config holds what a Node needs.
type Config struct {
	// Self is this daemon's entry. Its incarnation must be set.
	Self *sycapb.MemberEntry
	// ProbeInterval is the time between two probes.
	ProbeInterval time.Duration
	Now           func() time.Time
	// Clock returns the time of a clock that also runs while the machine is suspended. It is nil if
	// OnConfirmed is.
	Clock func() time.Time
	// Revision returns the policy revision in force at this daemon.
	Revision func() uint64
	// PolicyAge returns the time since a revision was last known to be the newest one, and false if
	// that is not known. It may be nil.
	PolicyAge func(revision uint64) (time.Duration, bool)
	// OnConfirmed is called when an ack from addr shows that a revision was the newest one at a time of
	// Clock. It may be nil.
	OnConfirmed func(addr netip.AddrPort, revision uint64, at time.Time)
	// StoreEra returns what is known of the store. It may be nil.
	StoreEra func() StoreEra
	// OnStoreEra is called with what a member states in an ack or a SyncReply. It may be nil.
	OnStoreEra func(StoreEra)
	// OnNewerRevision is called when a packet shows that addr has a higher policy revision.
	OnNewerRevision func(addr netip.AddrPort, revision uint64)
	// OnInvalid is called for each received entry that is invalid, with an *EntryError. It must not
	// block nor call the Node, and may be nil.
	OnInvalid func(error)
	// OnPoison is called with each poison entry received by gossip.
	OnPoison func(*sycapb.PoisonEntry)
	// Poisons returns all poison entries, PoisonDigest a digest of them that is 0 if there are none, and
	// OnSyncPoisons is called with those received in an exchange. The three may be nil.
	Poisons       func() []*sycapb.PoisonEntry
	PoisonDigest  func() uint64
	OnSyncPoisons func([]*sycapb.PoisonEntry)
	// OnChange is called after the member list changed. It must not block.
	OnChange func()
	// Exchange sends a SyncRequest to the daemon at addr.
	Exchange func(ctx context.Context, addr netip.AddrPort, req *sycapb.SyncRequest) (*sycapb.SyncReply, error)
	// Guard recovers panics of a packet or task, so that they do not end the process. It may be nil.
	Guard *guard.Guard
}

// StoreEra is the latest era of the store that a daemon knows.
type StoreEra struct {
	Era uint64
	// SinceRestore is the time since the restore that began the era; Restored is false if none is known.
	SinceRestore time.Duration
	Restored     bool
}

// ageMs returns the age of the restore for a message, nil if none is known.
func (e StoreEra) ageMs() *uint32 {
	if !e.Restored {
		return nil
	}
	return proto.Uint32(uint32(min(math.MaxUint32, e.SinceRestore/time.Millisecond)))
}

func decodeStoreEra(era uint64, ageMs *uint32) StoreEra {
	e := StoreEra{Era: era, Restored: ageMs != nil}
	if e.Restored {
		e.SinceRestore = time.Duration(*ageMs) * time.Millisecond
	}
	return e
}

// Conn is the part of a UDP socket that a Node uses.
type Conn struct {
	// Read blocks until it has read one packet.
	Read  func(b []byte) (n int, from netip.AddrPort, err error)
	Write func(b []byte, to netip.AddrPort) error
	// Close makes a blocked Read return.
	Close func() error
}

// Member is one member as this node sees it.
type Member struct {
	Entry *sycapb.MemberEntry
	// Addr is the member's address for both UDP and drpc.
	Addr netip.AddrPort
	// UpdatedAt is when this node last replaced the entry.
	UpdatedAt time.Time
	// Revision is the highest policy revision that the member reported.
	Revision uint64
}

// Node is one daemon's view of the membership. It is safe for concurrent use.
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
	pendingAcks       map[uint64]pendingAck
	bytesIn, bytesOut uint64
	// unknownSenders holds the addresses of the latest senders that are not members.
	unknownSenders []netip.AddrPort
	// limiter limits the bytes sent on gossip ticks.
	limiter *rate.Limiter
	// tasks runs the probes on behalf of other members, those of AskRevision and the exchanges of Join.
	tasks errgroup.Group
}

type poisonUpdate struct {
	entry     *sycapb.PoisonEntry
	remaining int
}

// New returns a node. Run starts it.
func New(cfg Config, conn Conn) *Node {
	n := &Node{
		cfg:         cfg,
		conn:        conn,
		self:        proto.Clone(cfg.Self).(*sycapb.MemberEntry),
		id:          cfg.Self.Id,
		members:     map[string]*Member{},
		poisons:     map[uint64]*poisonUpdate{},
		pendingAcks: map[uint64]pendingAck{},
		updates:     updateQueue{items: map[string]*update{}, ready: make(chan struct{}, 1)},
		limiter:     rate.NewLimiter(gossipRate, gossipBurst),
	}
	n.updates.add(n.self.Id, transmitLimit(1))
	return n
}

// Run receives packets, probes, gossips and exchanges entries until ctx is done.
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

// Members returns copies of all other members, including dead ones.
func (n *Node) Members() []Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	members := make([]Member, 0, len(n.members))
	for _, m := range n.members {
		c := *m
		c.Entry = proto.Clone(m.Entry).(*sycapb.MemberEntry)
		members = append(members, c)
	}
	return members
}

// ForEach calls f for each other member, including dead ones. It copies
// nothing; f must not keep or change the entry, nor call the Node.
func (n *Node) ForEach(f func(e *sycapb.MemberEntry, addr netip.AddrPort)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, m := range n.members {
		f(m.Entry, m.Addr)
	}
}

// Count returns the number of other members, including dead ones, for which f
// returns true. It copies nothing; f must not keep or change the entry.
func (n *Node) Count(f func(*sycapb.MemberEntry) bool) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	count := 0
	for _, m := range n.members {
		if f(m.Entry) {
			count++
		}
	}
	return count
}

// Len returns the number of other members, including dead ones.
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

// AnnounceRevision gossips the policy revision in force.
func (n *Node) AnnounceRevision() {
	n.mu.Lock()
	n.revisionSends = transmitLimit(len(n.members))
	n.updates.notify()
	n.mu.Unlock()
	n.gossip()
}

// AskRevision probes the member with an ID at its address. The ack carries the
// policy revision in force there and its age.
func (n *Node) AskRevision(ctx context.Context, id string, addr netip.AddrPort) {
	n.tasks.Go(func() error {
		// Guard has logged a panic; the caller asks again.
		_ = n.cfg.Guard.Call("ask", func() { n.ping(ctx, id, addr, ackTimeout) })
		return nil
	})
}

// AnnouncePoison gossips a changed poison entry.
func (n *Node) AnnouncePoison(e *sycapb.PoisonEntry) {
	n.mu.Lock()
	n.poisons[e.Fingerprint] = &poisonUpdate{entry: e, remaining: transmitLimit(len(n.members))}
	n.updates.notify()
	n.mu.Unlock()
	n.gossip()
}
