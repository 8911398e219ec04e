package member_test

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"sycamorespread.dev/guard"
	"sycamorespread.dev/member"
	"sycamorespread.dev/sycapb"
)

// A panic over one packet must not stop the node: it still acks the next ping.
func TestPanicOverPacketKeepsNodeRunning(t *testing.T) {
	in := make(chan []byte, 4)
	responses := make(chan []byte, 16)
	panics := make(chan string, 4)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	n := member.New(member.Config{
		Self:          &sycapb.MemberEntry{Id: "a", Incarnation: 1, Addr: "10.0.0.1:7"},
		ProbeInterval: time.Hour,
		Now:           time.Now,
		Revision:      func() uint64 { return 0 },
		OnPoison:      func(*sycapb.PoisonEntry) { panic("unknown kind of entry") },
		Exchange: func(context.Context, netip.AddrPort, *sycapb.SyncRequest) (*sycapb.SyncReply, error) {
			return nil, errClosed
		},
		Guard: guard.New(logrus.NewEntry(discardLogger()), func(task string) { panics <- task }),
	}, member.Conn{
		Read: func(b []byte) (int, netip.AddrPort, error) {
			select {
			case p := <-in:
				return copy(b, p), netip.AddrPort{}, nil
			case <-ctx.Done():
				return 0, netip.AddrPort{}, errClosed
			}
		},
		Write: func(b []byte, _ netip.AddrPort) error {
			responses <- append([]byte(nil), b...)
			return nil
		},
		Close: func() error { return nil },
	})
	ended := make(chan error, 1)
	c := newCluster(t, 0)
	c.group.Go(func() error {
		ended <- n.Run(ctx)
		return nil
	})
	in <- marshal(t, &sycapb.Packet{From: "b", FromAddr: "10.0.0.2:7", Poisons: []*sycapb.PoisonEntry{{Fingerprint: 1}}})
	if task := <-panics; task != "packet" {
		t.Errorf("task %q", task)
	}
	in <- marshal(t, &sycapb.Packet{From: "b", FromAddr: "10.0.0.2:7", Kind: sycapb.Packet_KIND_PING, Seq: 7})
	for {
		select {
		case b := <-responses:
			p := new(sycapb.Packet)
			if err := proto.Unmarshal(b, p); err != nil {
				t.Fatal(err)
			}
			if p.Kind == sycapb.Packet_KIND_ACK && p.Seq == 7 {
				return
			}
		case err := <-ended:
			t.Fatalf("Run returned: %v", err)
		case <-time.After(2 * time.Second):
			t.Fatal("no ack to the packet after the panic")
		}
	}
}

// FuzzPacket merges arbitrary packets: none may make the node panic or keep an
// entry without an ID or address.
func FuzzPacket(f *testing.F) {
	f.Add([]byte{})
	f.Add(marshal(f, &sycapb.Packet{From: "b", FromAddr: "10.0.0.2:7", Kind: sycapb.Packet_KIND_PINGREQ, Target: "x", Entries: []*sycapb.MemberEntry{{}, {Id: "c", Addr: "y"}, nil}}))
	f.Add(marshal(f, &sycapb.Packet{FromAddr: "10.0.0.2:7", Entries: []*sycapb.MemberEntry{{Id: "a", Incarnation: 1 << 63, Epoch: 1<<32 - 1}}}))
	f.Fuzz(func(t *testing.T, b []byte) {
		p := new(sycapb.Packet)
		if proto.Unmarshal(b, p) != nil {
			return
		}
		n := member.New(member.Config{
			Self: &sycapb.MemberEntry{Id: "a", Incarnation: 1, Addr: "10.0.0.1:7"}, Now: time.Now,
			Revision: func() uint64 { return 0 },
		}, member.Conn{Write: func([]byte, netip.AddrPort) error { return nil }})
		n.Merge(p.Entries)
		n.HandleSync(&sycapb.SyncRequest{Entries: p.Entries})
		for _, r := range n.Members() {
			if r.Entry.Id == "" || !r.Addr.IsValid() || r.Addr.Port() == 0 || r.Entry.Slots > 100_000 || proto.Size(r.Entry) > 1100 {
				t.Errorf("kept %v", r.Entry)
			}
		}
	})
}

func marshal(t testing.TB, p *sycapb.Packet) []byte {
	b, err := proto.Marshal(p)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func discardLogger() *logrus.Logger {
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	return log
}
