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

func (n *Node) syncLoop(ctx context.Context) error {
	for {
		// Spread over time so that the fleet does not exchange in step.
		wait := syncEvery/2 + rand.N(syncEvery)
		t := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			t.Stop()
			return nil
		case <-t.C:
		}
		n.mu.Lock()
		to := n.pickLive(1, "")
		n.mu.Unlock()
		if len(to) > 0 {
			// A failed exchange is made up for by the next.
			_ = n.Sync(ctx, to[0])
		}
	}
}

// Join exchanges entries with the daemons at the given addresses, all at once,
// and reports whether any of them answered. It returns at the first answer,
// since some addresses may be of daemons that are gone.
func (n *Node) Join(ctx context.Context, addrs []netip.AddrPort) bool {
	results := make(chan bool, len(addrs))
	for _, a := range addrs {
		n.relays.Go(func() error {
			ok := false
			err := n.cfg.Guard.Call("join", func() { ok = n.Sync(ctx, a) == nil })
			results <- ok
			return err
		})
	}
	for range addrs {
		if <-results {
			return true
		}
	}
	return false
}

// Sync exchanges entries with the daemon at addr: digests of each zone first,
// then the entries of the zones that differ.
func (n *Node) Sync(ctx context.Context, addr netip.AddrPort) error {
	first, err := n.cfg.Exchange(ctx, addr, &sycapb.SyncRequest{Digests: n.digests()})
	if err != nil {
		return err
	}
	n.Merge(first.Entries)
	if len(first.Differ) == 0 {
		return nil
	}
	_, err = n.cfg.Exchange(ctx, addr, &sycapb.SyncRequest{Entries: n.zoneEntries(first.Differ)})
	return err
}

// Answer serves a SyncRequest.
func (n *Node) Answer(req *sycapb.SyncRequest) *sycapb.SyncReply {
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
	for _, r := range n.rows {
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
	for _, r := range n.rows {
		if slices.Contains(zones, r.Entry.Zone) {
			list = append(list, proto.Clone(r.Entry).(*sycapb.MemberEntry))
		}
	}
	return list
}
