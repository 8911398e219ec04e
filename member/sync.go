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

// hedgeDelay is how long Join waits for answers before it asks more daemons beside: some times an exchange within a
// region.
const hedgeDelay = 25 * time.Millisecond

func (n *Node) syncLoop(ctx context.Context) error {
	for {
		// Spread over time so that the fleet does not exchange in step.
		wait := syncInterval/2 + rand.N(syncInterval)
		t := time.NewTimer(wait)
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
			// A failed exchange is made up for by the next.
			_ = n.Sync(ctx, to[0])
		}
	}
}

// Join exchanges entries with the daemons at the given addresses, and reports
// whether any of them answered; it returns at the first answer. It asks one,
// after hedgeDelay without an answer twice as many, and so on, since some
// addresses may be of daemons that are gone. The others are asked all the same,
// in case they do not know each other: once the first has told all members,
// digests are all that is exchanged with the rest.
func (n *Node) Join(ctx context.Context, addrs []netip.AddrPort) bool {
	first := make(chan bool, 1)
	n.tasks.Go(func() error {
		// Guard has logged a panic; it may have come before any answer.
		if n.cfg.Guard.Call("join", func() { n.joinAll(ctx, addrs, first) }) != nil {
			trySend(first, false)
		}
		return nil
	})
	return <-first
}

func (n *Node) joinAll(ctx context.Context, addrs []netip.AddrPort, first chan<- bool) {
	answers := make(chan bool, len(addrs))
	pending, batch := 0, 1
	for len(addrs) > 0 {
		for _, a := range addrs[:min(batch, len(addrs))] {
			n.joinOne(ctx, a, answers)
			pending++
		}
		addrs = addrs[min(batch, len(addrs)):]
		late := time.NewTimer(hedgeDelay)
		for waiting := true; waiting && pending > 0; {
			select {
			case ok := <-answers:
				pending--
				if ok {
					trySend(first, true)
					// The rest need not be asked at once any more.
					batch = 0
				}
			case <-late.C:
				waiting = false
			}
		}
		late.Stop()
		batch = max(1, 2*batch)
	}
	for range pending {
		if <-answers {
			trySend(first, true)
		}
	}
	trySend(first, false)
}

func (n *Node) joinOne(ctx context.Context, addr netip.AddrPort, answers chan<- bool) {
	n.tasks.Go(func() error {
		ok := false
		// Guard has logged a panic; the others are asked all the same.
		_ = n.cfg.Guard.Call("join", func() { ok = n.Sync(ctx, addr) == nil })
		answers <- ok
		return nil
	})
}

// trySend writes v unless something was written before.
func trySend(c chan<- bool, v bool) {
	select {
	case c <- v:
	default:
	}
}

// Sync exchanges entries with the daemon at addr: digests of each zone first,
// then the entries of the zones that differ.
func (n *Node) Sync(ctx context.Context, addr netip.AddrPort) error {
	first, err := n.cfg.Exchange(ctx, addr, &sycapb.SyncRequest{Digests: n.digests()})
	if err != nil {
		return err
	}
	mine := n.entriesNewerThan(n.zoneEntries(first.Differ), first.Entries)
	n.Merge(first.Entries)
	if len(mine) == 0 {
		return nil
	}
	_, err = n.cfg.Exchange(ctx, addr, &sycapb.SyncRequest{Entries: mine})
	return err
}

// entriesNewerThan returns the entries that another daemon has not, or has in an older
// version.
func (n *Node) entriesNewerThan(own, theirs []*sycapb.MemberEntry) []*sycapb.MemberEntry {
	known := make(map[string]*sycapb.MemberEntry, len(theirs))
	for _, e := range theirs {
		known[e.GetId()] = e
	}
	var list []*sycapb.MemberEntry
	for _, e := range own {
		if old, ok := known[e.Id]; !ok || CompareEntries(e, old) > 0 {
			list = append(list, e)
		}
	}
	return list
}

// HandleSync serves a SyncRequest.
func (n *Node) HandleSync(req *sycapb.SyncRequest) *sycapb.SyncReply {
	n.Merge(req.Entries)
	if req.Digests == nil {
		return &sycapb.SyncReply{}
	}
	own := n.digests()
	var differ []string
	for zone, d := range own {
		if req.Digests[zone] != d {
			differ = append(differ, zone)
		}
	}
	for zone := range req.Digests {
		if _, ok := own[zone]; !ok {
			differ = append(differ, zone)
		}
	}
	slices.Sort(differ)
	return &sycapb.SyncReply{Differ: differ, Entries: n.zoneEntries(differ)}
}

// digests returns a hash of the entries of each zone, in any order.
func (n *Node) digests() map[string]uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	sums := map[string]uint64{}
	add := func(e *sycapb.MemberEntry) {
		b, _ := proto.MarshalOptions{Deterministic: true}.Marshal(e)
		sums[e.Zone] ^= xxhash.Sum64(b)
	}
	add(n.self)
	for _, r := range n.members {
		add(r.Entry)
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
	for _, r := range n.members {
		if slices.Contains(zones, r.Entry.Zone) {
			list = append(list, proto.Clone(r.Entry).(*sycapb.MemberEntry))
		}
	}
	return list
}
