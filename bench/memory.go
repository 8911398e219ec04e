package main

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"runtime"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"sycamorespread.dev/action"
	"sycamorespread.dev/allow"
	"sycamorespread.dev/burn"
	"sycamorespread.dev/member"
	"sycamorespread.dev/route"
	"sycamorespread.dev/sycapb"
	"sycamorespread.dev/ticket"
)

// planMembers, planServices and planZones are the size of the planned fleet.
const (
	planMembers  = 2200
	planServices = 80
	planZones    = 7
	// sampleItems is the number of items over which the memory per item is averaged.
	sampleItems = 20_000
)

// heapBytes returns the size of the heap in use after a garbage collection.
func heapBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// heapGrowth returns by how many bytes f grows the heap. It keeps the result of f reachable until the
// heap is measured.
func heapGrowth(f func() any) float64 {
	before := heapBytes()
	kept := f()
	after := heapBytes()
	runtime.KeepAlive(kept)
	return after - before
}

// measureMemory measures, in this process, the memory and time that parts of a daemon take in a fleet
// of the planned size.
func measureMemory() error {
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "PART\tVALUE\tUNIT")
	n := member.New(member.Config{
		Self:     planEntry(0),
		Now:      time.Now,
		Revision: func() uint64 { return 0 },
		Exchange: func(context.Context, netip.AddrPort, *sycapb.SyncRequest) (*sycapb.SyncReply, error) { return nil, nil },
	}, member.Conn{Write: func([]byte, netip.AddrPort) error { return nil }})
	var entries []*sycapb.MemberEntry
	bytes := 0
	for i := 1; i < planMembers; i++ {
		e := planEntry(i)
		bytes += proto.Size(e)
		entries = append(entries, e)
	}
	members := heapGrowth(func() any {
		n.Merge(entries)
		return n
	})
	fmt.Fprintf(w, "member entry on the wire\t%d\tbytes\n", bytes/len(entries))
	fmt.Fprintf(w, "memory per member\t%.0f\tbytes\n", members/planMembers)
	fmt.Fprintf(w, "digests of %d members\t%.0f\tus\n", planMembers, meanMicros(func() { n.HandleSync(&sycapb.SyncRequest{Digests: map[string]uint64{}}) }))
	if err := measureRouting(w, entries); err != nil {
		return err
	}
	if err := measureTickets(w); err != nil {
		return err
	}
	actions := allow.NewAccountCache(time.Hour, time.Now)
	fmt.Fprintf(w, "memory per remembered action\t%.0f\tbytes\n", heapGrowth(func() any {
		for range sampleItems {
			actions.Account(action.NewID(), 8)
		}
		return actions
	})/sampleItems)
	printEnvelope(w)
	report := burn.New(time.Now)
	fmt.Fprintf(w, "memory per method in the burn report\t%.0f\tbytes\n", heapGrowth(func() any {
		for i := range 100 {
			report.Record(burn.Method{Service: "s", Name: fmt.Sprint(i)}, 0.99, true)
		}
		return report
	})/100)
	return w.Flush()
}

// printEnvelope prints how many bytes a hop adds to the bodies of a call and its reply.
func printEnvelope(w *tabwriter.Writer) {
	id := action.NewID()
	c := &sycapb.Call{
		ActionId: id[:], AttemptId: 1 << 60, Service: "service07", Method: "method", Digest: 1 << 60,
		TimeoutUs: time.Second.Microseconds(), Allowance: 12, Rank: 2, Depth: 8, Path: 1 << 60,
	}
	r := action.EmptyReply(c, sycapb.Outcome_OUTCOME_DONE, 0, "")
	r.Load = &sycapb.Load{Inflight: 20, Queued: 3, Limit: 60}
	r.Level = action.AdmitAll.Proto()
	r.Server = "service07-0123"
	fmt.Fprintf(w, "call beside its body, a hop\t%d\tbytes\n", proto.Size(c))
	fmt.Fprintf(w, "reply beside its body, a hop\t%d\tbytes\n", proto.Size(r))
}

func planEntry(i int) *sycapb.MemberEntry {
	zone := i % planZones
	addr := netip.AddrFrom4([4]byte{10, byte(zone), byte(i >> 8), byte(i)})
	return &sycapb.MemberEntry{
		Id:          fmt.Sprintf("service%02d-%04d", i%planServices, i),
		Incarnation: uint64(time.Now().UnixMilli()),
		Service:     fmt.Sprintf("service%02d", i%planServices),
		Region:      "region-one",
		Zone:        fmt.Sprintf("region-one-%c", 'a'+zone),
		Addr:        netip.AddrPortFrom(addr, 7100).String(),
		Http:        netip.AddrPortFrom(addr, 7101).String(),
		Slots:       60,
	}
}

// meanMicros returns the mean time of a call of f in microseconds.
func meanMicros(f func()) float64 {
	const times = 20
	start := time.Now()
	for range times {
		f()
	}
	return float64(time.Since(start).Microseconds()) / times
}

func measureRouting(w *tabwriter.Writer, entries []*sycapb.MemberEntry) error {
	targets := make([]route.Target, 0, len(entries))
	for _, e := range entries {
		addr, err := netip.ParseAddrPort(e.Addr)
		if err != nil {
			return errors.Wrap(err, "measure routing")
		}
		targets = append(targets, route.Target{ID: e.Id, Addr: addr, Service: e.Service, Zone: e.Zone, Slots: 60})
	}
	table := route.New("service00-0000", "region-one-a", time.Now)
	table.Update(targets)
	fmt.Fprintf(w, "rebuild of the route table for %d members\t%.0f\tus\n", len(targets), meanMicros(func() { table.Update(targets) }))
	var pickErr error
	pick := meanMicros(func() {
		for range 1000 {
			attempt, err := table.Pick(route.Request{Service: "service07", Method: "m"})
			if err != nil {
				pickErr = err
				return
			}
			attempt.Done(route.Report{Level: action.AdmitAll})
		}
	})
	fmt.Fprintf(w, "one routing choice among %d servers\t%.2f\tus\n", planMembers/planServices, pick/1000)
	return pickErr
}

func measureTickets(w *tabwriter.Writer) error {
	start := time.Now()
	issuer := ticket.NewIssuer("payments-0", 1, time.Hour, func() time.Duration { return time.Since(start) })
	var err error
	size := heapGrowth(func() any {
		for range sampleItems {
			raw, issueErr := issuer.Issue("payments", "pay")
			if issueErr != nil {
				err = issueErr
				return issuer
			}
			run, beginErr := issuer.Begin(raw, "payments", "pay", 1)
			if beginErr != nil {
				err = beginErr
				return issuer
			}
			run.MarkSpent()
			run.Finish(&sycapb.Reply{Body: make([]byte, 256)})
		}
		return issuer
	})
	fmt.Fprintf(w, "memory per remembered ticket with a 256 byte answer\t%.0f\tbytes\n", size/sampleItems)
	return err
}
