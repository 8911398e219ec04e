package member_test

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"sycamorespread.dev/member"
	"sycamorespread.dev/poison"
	"sycamorespread.dev/sycapb"
)

// Daemons that a cut kept from the gossip of a poison entry never got it.
func TestPoisonEntriesMissingAfterACut(t *testing.T) {
	nodes := map[netip.AddrPort]*member.Node{}
	exchange := func(_ context.Context, to netip.AddrPort, req *sycapb.SyncRequest) (*sycapb.SyncReply, error) {
		return nodes[to].HandleSync(req), nil
	}
	add := func(id, addr string) *poison.Registry {
		registry := poison.New(time.Now, nil)
		nodes[netip.MustParseAddrPort(addr)] = member.New(member.Config{
			Self: &sycapb.MemberEntry{Id: id, Addr: addr, Zone: id, Incarnation: 1}, Now: time.Now, Exchange: exchange,
			Revision: func() uint64 { return 0 }, Poisons: registry.Entries, PoisonDigest: registry.Digest,
			OnSyncPoisons: func(entries []*sycapb.PoisonEntry) {
				if _, errs := registry.Learn(entries); len(errs) > 0 {
					t.Error(errs)
				}
			},
		}, member.Conn{})
		return registry
	}
	one, two := add("a", "10.0.0.1:7"), add("b", "10.0.0.2:7")
	one.RecordCrash("x", []poison.Request{{Fingerprint: 1}, {Fingerprint: 3}, {Fingerprint: 4}})
	two.RecordCrash("y", []poison.Request{{Fingerprint: 1, Known: poison.Suspect}, {Fingerprint: 2}, {Fingerprint: 4}})
	two.AddCrash("x", poison.Request{Fingerprint: 3})
	two.Lift(3)
	if err := nodes[netip.MustParseAddrPort("10.0.0.1:7")].Sync(context.Background(), netip.MustParseAddrPort("10.0.0.2:7")); err != nil {
		t.Fatal(err)
	}
	want := map[poison.Fingerprint]poison.State{1: poison.Quarantined, 2: poison.Suspect, 3: poison.Clear, 4: poison.Isolated}
	for fp, state := range want {
		if a, b := one.State(fp), two.State(fp); a != state || b != state {
			t.Errorf("request %d is %s and %s, want %s", fp, a, b, state)
		}
	}
	if one.Digest() != two.Digest() {
		t.Error("the digests differ")
	}
}
