package member_test

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"sycamorespread.dev/member"
	"sycamorespread.dev/sycapb"
)

// Updates of a whole zone must not flood the network: the bytes stay within a
// burst and a rate, and every entry is sent once before any is sent for the
// third time.
func TestGossipIsRateLimitedAndFair(t *testing.T) {
	t.Parallel()
	const (
		entries  = 600
		duration = 10 * time.Second
		burst    = 256 << 10
		rate     = 8_000
	)
	var mu sync.Mutex
	bytes := 0
	sent := map[string]int{}
	seen, unfair := 0, 0
	closed := make(chan struct{})
	conn := member.Conn{
		Read: func([]byte) (int, netip.AddrPort, error) {
			<-closed
			return 0, netip.AddrPort{}, errClosed
		},
		Write: func(b []byte, _ netip.AddrPort) error {
			p := new(sycapb.Packet)
			if err := proto.Unmarshal(b, p); err != nil {
				return err
			}
			mu.Lock()
			defer mu.Unlock()
			bytes += len(b)
			for _, e := range p.Entries {
				if sent[e.Id]++; sent[e.Id] == 1 {
					seen++
				}
				if sent[e.Id] > 2 && seen < entries {
					unfair++
				}
			}
			return nil
		},
		Close: func() error {
			close(closed)
			return nil
		},
	}
	n := member.New(member.Config{
		Self:          &sycapb.MemberEntry{Id: "self", Incarnation: 1, Addr: "10.0.0.1:7"},
		ProbeInterval: time.Hour,
		Now:           time.Now,
		Revision:      func() uint64 { return 0 },
		Exchange: func(context.Context, netip.AddrPort, *sycapb.SyncRequest) (*sycapb.SyncReply, error) {
			return nil, errClosed
		},
	}, conn)
	list := make([]*sycapb.MemberEntry, 0, entries)
	for i := range entries {
		list = append(list, &sycapb.MemberEntry{Id: fmt.Sprintf("service-%04d", i), Incarnation: 1, Zone: "zone-a", Service: "service", Addr: fmt.Sprintf("10.1.%d.%d:7", i/250, i%250+1)})
	}
	n.Merge(list)
	ctx, stop := context.WithTimeout(context.Background(), duration)
	defer stop()
	var g errgroup.Group
	g.Go(func() error { return n.Run(ctx) })
	_ = g.Wait()
	mu.Lock()
	defer mu.Unlock()
	if limit := burst + int(duration.Seconds()*rate); bytes > limit {
		t.Errorf("%d bytes of updates in %s, limit %d", bytes, duration, limit)
	}
	if seen < entries || unfair > 0 {
		t.Errorf("%d of %d entries were sent, %d transmissions were out of order", seen, entries, unfair)
	}
}

// The start of a large fleet uses up the burst of member updates. A new policy
// revision must not wait for the rate limit: with 300 daemons it took 0.8 s
// instead of a few milliseconds until it was in force.
func TestRevisionBypassesGossipRateLimit(t *testing.T) {
	const entries, updates = 600, 200
	started := time.Unix(1000, 0)
	revision := uint64(1)
	var packets []*sycapb.Packet
	n := member.New(member.Config{
		Self:     &sycapb.MemberEntry{Id: "self", Incarnation: 1, Addr: "10.0.0.1:7"},
		Now:      func() time.Time { return started },
		Revision: func() uint64 { return revision },
	}, member.Conn{Write: func(b []byte, _ netip.AddrPort) error {
		p := new(sycapb.Packet)
		packets = append(packets, p)
		return proto.Unmarshal(b, p)
	}})
	var list []*sycapb.MemberEntry
	for i := range entries {
		list = append(list, &sycapb.MemberEntry{Id: fmt.Sprintf("service-%04d", i), Incarnation: 1, Zone: "zone-a", Service: "service", Addr: fmt.Sprintf("10.1.%d.%d:7", i/250, i%250+1)})
	}
	n.Merge(list)
	for range updates {
		n.UpdateSelf(func(e *sycapb.MemberEntry) { e.Slots++ })
	}
	sent := len(packets)
	n.UpdateSelf(func(e *sycapb.MemberEntry) { e.Slots++ })
	if len(packets) != sent {
		t.Fatalf("%d packets of updates were sent beyond the limit", len(packets)-sent)
	}
	revision = 7
	n.AnnounceRevision()
	if len(packets) == sent {
		t.Error("the revision was not sent at once")
	}
	for _, p := range packets[sent:] {
		if p.PolicyRevision != 7 || len(p.Entries) > 0 {
			t.Errorf("packet of revision %d with %d entries", p.PolicyRevision, len(p.Entries))
		}
	}
}
