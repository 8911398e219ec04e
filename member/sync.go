package member

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"sycamorespread.dev/sycapb"
)

// hedgeDelay is how long Join waits for responses before it asks more daemons. It is several times
// the duration of an exchange within a region.
const hedgeDelay = 25 * time.Millisecond

func (n *Node) syncLoop(ctx context.Context) error {
	for {
		// Jitter keeps the exchanges of the fleet from synchronizing.
		delay := syncInterval/2 + rand.N(syncInterval)
		t := time.NewTimer(delay)
		select {
		case <-ctx.Done():
			t.Stop()
			return nil
		case <-t.C:
		}
		n.mu.Lock()
		to := n.randomLive(1, "")
		n.mu.Unlock()
		if len(to) > 0 {
			// The next exchange makes up for a failed one.
			_ = n.Sync(ctx, to[0])
		}
	}
}

// Join exchanges entries with the daemons at the given addresses and reports
// whether any of them responded. It returns at the first response. Join asks one
// daemon, then twice as many after each hedgeDelay without a response, since
// some addresses may be those of dead daemons. After the first response the
// remaining daemons are asked in the background, in case they do not know each
// other. Once the first exchange has returned all members, the others exchange
// only digests.
func (n *Node) Join(ctx context.Context, addrs []netip.AddrPort) bool {
	joined := make(chan bool, 1)
	n.tasks.Go(func() error {
		// Guard has logged a panic, which may have occurred before any response.
		if n.cfg.Guard.Call("join", func() { n.joinAll(ctx, addrs, joined) }) != nil {
			trySend(joined, false)
		}
		return nil
	})
	return <-joined
}

func (n *Node) joinAll(ctx context.Context, addrs []netip.AddrPort, joined chan<- bool) {
	results := make(chan bool, len(addrs))
	pending, batch := 0, 1
	for len(addrs) > 0 {
		for _, a := range addrs[:min(batch, len(addrs))] {
			n.joinOne(ctx, a, results)
			pending++
		}
		addrs = addrs[min(batch, len(addrs)):]
		hedge := time.NewTimer(hedgeDelay)
		for waiting := true; waiting && pending > 0; {
			select {
			case ok := <-results:
				pending--
				if ok {
					trySend(joined, true)
					// The remaining daemons need not be asked in parallel.
					batch = 0
				}
			case <-hedge.C:
				waiting = false
			}
		}
		hedge.Stop()
		batch = max(1, 2*batch)
	}
	for range pending {
		if <-results {
			trySend(joined, true)
		}
	}
	trySend(joined, false)
}

func (n *Node) joinOne(ctx context.Context, addr netip.AddrPort, results chan<- bool) {
	n.tasks.Go(func() error {
		ok := false
		// Guard has logged a panic; the other daemons are still asked.
		_ = n.cfg.Guard.Call("join", func() { ok = n.Sync(ctx, addr) == nil })
		results <- ok
		return nil
	})
}

// trySend sends v unless the buffer of c is full.
func trySend(c chan<- bool, v bool) {
	select {
	case c <- v:
	default:
	}
}

// Sync exchanges entries with the daemon at addr: first a digest of each zone,
// then the entries of the zones whose digests differ. Poison entries are
// exchanged in the same way.
func (n *Node) Sync(ctx context.Context, addr netip.AddrPort) error {
	reply, err := n.cfg.Exchange(ctx, addr, &sycapb.SyncRequest{Digests: n.digests(), PoisonDigest: n.poisonDigest()})
	if err != nil {
		return err
	}
	if n.cfg.OnStoreEra != nil {
		n.cfg.OnStoreEra(decodeStoreEra(reply.StoreEra, reply.RestoreAgeMs))
	}
	newer := n.entriesNewerThan(n.zoneEntries(reply.Differ), reply.Entries)
	n.Merge(reply.Entries)
	var poisons []*sycapb.PoisonEntry
	if reply.PoisonDigest != n.poisonDigest() {
		poisons = n.poisonsOtherThan(reply.Poisons)
		n.learnPoisons(reply.Poisons)
	}
	if len(newer) == 0 && len(poisons) == 0 {
		return nil
	}
	_, err = n.cfg.Exchange(ctx, addr, &sycapb.SyncRequest{Entries: newer, Poisons: poisons})
	return err
}

func (n *Node) poisonDigest() uint64 {
	if n.cfg.PoisonDigest == nil {
		return 0
	}
	return n.cfg.PoisonDigest()
}

// poisonsOtherThan returns the poison entries that another daemon lacks or has in another version.
func (n *Node) poisonsOtherThan(theirs []*sycapb.PoisonEntry) []*sycapb.PoisonEntry {
	if n.cfg.Poisons == nil {
		return nil
	}
	known := make(map[uint64]*sycapb.PoisonEntry, len(theirs))
	for _, e := range theirs {
		known[e.GetFingerprint()] = e
	}
	return slices.DeleteFunc(n.cfg.Poisons(), func(e *sycapb.PoisonEntry) bool {
		return proto.Equal(e, known[e.Fingerprint])
	})
}

func (n *Node) learnPoisons(entries []*sycapb.PoisonEntry) {
	if n.cfg.OnSyncPoisons != nil && len(entries) > 0 {
		n.cfg.OnSyncPoisons(entries)
	}
}

// entriesNewerThan returns the entries of own that another daemon lacks or has
// in an older version.
func (n *Node) entriesNewerThan(own, theirs []*sycapb.MemberEntry) []*sycapb.MemberEntry {
	known := make(map[string]*sycapb.MemberEntry, len(theirs))
	for _, e := range theirs {
		known[e.GetId()] = e
	}
	var newer []*sycapb.MemberEntry
	for _, e := range own {
		if old, ok := known[e.Id]; !ok || CompareEntries(e, old) > 0 {
			newer = append(newer, e)
		}
	}
	return newer
}

// HandleSync handles a SyncRequest from another daemon.
func (n *Node) HandleSync(req *sycapb.SyncRequest) *sycapb.SyncReply {
	n.Merge(req.Entries)
	n.learnPoisons(req.Poisons)
	if req.Digests == nil {
		return &sycapb.SyncReply{}
	}
	own := n.digests()
	var differing []string
	for zone, d := range own {
		if req.Digests[zone] != d {
			differing = append(differing, zone)
		}
	}
	for zone := range req.Digests {
		if _, ok := own[zone]; !ok {
			differing = append(differing, zone)
		}
	}
	slices.Sort(differing)
	reply := &sycapb.SyncReply{Differ: differing, Entries: n.zoneEntries(differing), PoisonDigest: n.poisonDigest()}
	if reply.PoisonDigest != req.PoisonDigest {
		reply.Poisons = n.poisonsOtherThan(nil)
	}
	if n.cfg.StoreEra != nil {
		e := n.cfg.StoreEra()
		reply.StoreEra, reply.RestoreAgeMs = e.Era, e.ageMs()
	}
	return reply
}

// digests returns a hash of the entries of each zone that does not depend on
// their order.
func (n *Node) digests() map[string]uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	sums := map[string]uint64{}
	add := func(e *sycapb.MemberEntry) {
		b, _ := proto.MarshalOptions{Deterministic: true}.Marshal(e)
		sums[e.Zone] ^= xxhash.Sum64(b)
	}
	add(n.self)
	for _, m := range n.members {
		add(m.Entry)
	}
	return sums
}

func (n *Node) zoneEntries(zones []string) []*sycapb.MemberEntry {
	n.mu.Lock()
	defer n.mu.Unlock()
	var list []*sycapb.MemberEntry
	if slices.Contains(zones, n.self.Zone) {
		list = append(list, proto.Clone(n.self).(*sycapb.MemberEntry))
	}
	for _, m := range n.members {
		if slices.Contains(zones, m.Entry.Zone) {
			list = append(list, proto.Clone(m.Entry).(*sycapb.MemberEntry))
		}
	}
	return list
}
