package member_test

import (
	"math"
	"net/netip"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"sycamorespread.dev/member"
	"sycamorespread.dev/sycapb"
)

// newOddNode returns a node with the ID a that passes its packets to write.
func newOddNode(write func(*sycapb.Packet)) *member.Node {
	return member.New(member.Config{
		Self: &sycapb.MemberEntry{Id: "a", Incarnation: 7, Addr: "10.0.0.1:7"}, Now: time.Now,
		Revision: func() uint64 { return 0 },
	}, member.Conn{Write: func(b []byte, _ netip.AddrPort) error {
		p := new(sycapb.Packet)
		if err := proto.Unmarshal(b, p); err != nil {
			return err
		}
		write(p)
		return nil
	}})
}

func TestOddEntryIsKept(t *testing.T) {
	valid := &sycapb.MemberEntry{Id: "b", Incarnation: 1, Addr: "10.0.0.2:7", Slots: 4}
	for name, change := range map[string]func(*sycapb.MemberEntry){
		"port 0":            func(e *sycapb.MemberEntry) { e.Addr = "10.0.0.2:0" },
		"port out of range": func(e *sycapb.MemberEntry) { e.Addr = "10.0.0.2:65536" },
		"slots":             func(e *sycapb.MemberEntry) { e.Slots = math.MaxUint32 },
		"state":             func(e *sycapb.MemberEntry) { e.State = 99 },
		"negative state":    func(e *sycapb.MemberEntry) { e.State = -1 },
		"incarnation":       func(e *sycapb.MemberEntry) { e.Incarnation = math.MaxUint64 },
		"long ID":           func(e *sycapb.MemberEntry) { e.Id = strings.Repeat("b", 2000) },
		"long zone":         func(e *sycapb.MemberEntry) { e.Zone = strings.Repeat("z", 2000) },
	} {
		odd := proto.Clone(valid).(*sycapb.MemberEntry)
		change(odd)
		n := newOddNode(func(*sycapb.Packet) {})
		n.Merge([]*sycapb.MemberEntry{odd, {Id: "c", Incarnation: 1, Addr: "10.0.0.3:7"}})
		if list := n.Members(); len(list) != 1 || list[0].Entry.Id != "c" {
			t.Errorf("%s: members %v", name, list)
		}
	}
}

func TestOddEntryStopsTheGossip(t *testing.T) {
	announced := 0
	n := newOddNode(func(p *sycapb.Packet) {
		for _, e := range p.Entries {
			if e.Id == "a" {
				announced++
			}
		}
	})
	n.Merge([]*sycapb.MemberEntry{{Id: strings.Repeat("b", 2000), Incarnation: 1, Addr: "10.0.0.2:7"}, {Id: "c", Incarnation: 1, Addr: "10.0.0.3:7"}})
	for range 5 {
		announced = 0
		n.UpdateSelf(func(*sycapb.MemberEntry) {})
		n.UpdateSelf(func(*sycapb.MemberEntry) {})
		if announced == 0 {
			t.Error("an update is not announced")
		}
	}
}

func TestOddEntryOfALiveMemberIsNotRefuted(t *testing.T) {
	for _, odd := range []*sycapb.MemberEntry{
		{Id: "a", Incarnation: 7, Epoch: math.MaxUint32, State: sycapb.MemberState_MEMBER_STATE_DEAD, Addr: "10.0.0.1:7"},
		{Id: "a", Incarnation: math.MaxUint64, Epoch: math.MaxUint32, State: sycapb.MemberState_MEMBER_STATE_LEFT, Addr: "10.0.0.1:7"},
		{Id: "a", Incarnation: 7, Epoch: 1, State: 99, Addr: "10.0.0.1:7"},
	} {
		n := newOddNode(func(*sycapb.Packet) {})
		other := member.New(member.Config{Self: &sycapb.MemberEntry{Id: "o", Incarnation: 1, Addr: "10.0.0.9:7"}, Now: time.Now, Revision: func() uint64 { return 0 }},
			member.Conn{Write: func([]byte, netip.AddrPort) error { return nil }})
		other.Merge([]*sycapb.MemberEntry{n.Self()})
		other.Merge([]*sycapb.MemberEntry{odd})
		n.Merge([]*sycapb.MemberEntry{odd})
		other.Merge([]*sycapb.MemberEntry{n.Self()})
		if list := other.Members(); len(list) != 1 || list[0].Entry.State != sycapb.MemberState_MEMBER_STATE_ALIVE {
			t.Errorf("%v: the other member keeps %v", odd, list)
		}
	}
}
