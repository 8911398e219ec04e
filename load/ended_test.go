package load_test

import (
	"context"
	"fmt"
	"math"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"

	"sycamorespread.dev/action"
	"sycamorespread.dev/caller"
	"sycamorespread.dev/load"
	"sycamorespread.dev/runlog"
	"sycamorespread.dev/sycapb"
)

// entry is a daemon that replies as the called method says.
type entry struct{}

// Submit implements the Entry service of the schema.
func (entry) Submit(ctx context.Context, req *connect.Request[sycapb.Call]) (*connect.Response[sycapb.Reply], error) {
	c := req.Msg
	r := action.EmptyReply(c, sycapb.Outcome_OUTCOME_NOTRUN, sycapb.Reason_REASON_SHED, "")
	switch c.Method {
	case "served":
		r.Outcome, r.Reason = sycapb.Outcome_OUTCOME_DONE, 0
		r.Body = fmt.Appendf(nil, "%s.%s|%x|%x|end", c.Service, c.Method, c.ActionId, action.Digest(c.Body))
	case "stranger":
		r.Outcome, r.Reason, r.Body = sycapb.Outcome_OUTCOME_DONE, 0, []byte("of another action")
	case "expired":
		r.Reason = sycapb.Reason_REASON_DEADLINE
	case "silent":
		<-ctx.Done()
		// The deadline of the entry is in whole milliseconds and may be before that of its caller.
		time.Sleep(100 * time.Millisecond)
	case "failed":
		r.Outcome, r.Reason = sycapb.Outcome_OUTCOME_FAILED, sycapb.Reason_REASON_BACKEND
	case "broken":
		return nil, connect.NewError(connect.CodeUnavailable, nil)
	}
	r.Length, r.Digest = uint32(len(r.Body)), action.Digest(r.Body)
	return connect.NewResponse(r), nil
}

// OpenTicket implements the Entry service of the schema.
func (entry) OpenTicket(context.Context, *connect.Request[sycapb.TicketRequest]) (*connect.Response[sycapb.TicketReply], error) {
	return nil, connect.NewError(connect.CodeUnimplemented, nil)
}

func TestEndedCountsByOutcome(t *testing.T) {
	mux := http.NewServeMux()
	mux.Handle(sycapb.NewEntryHandler(entry{}))
	s := httptest.NewServer(mux)
	t.Cleanup(s.Close)
	client := caller.New(caller.Config{Entries: []netip.AddrPort{netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))}, Allowance: 1})
	for method, of := range map[string]func(runlog.Counts) uint64{
		"served":   func(c runlog.Counts) uint64 { return c.Served },
		"shed":     func(c runlog.Counts) uint64 { return c.Shed },
		"expired":  func(c runlog.Counts) uint64 { return c.Late },
		"silent":   func(c runlog.Counts) uint64 { return c.Late },
		"stranger": func(c runlog.Counts) uint64 { return c.Lost },
		"failed":   func(c runlog.Counts) uint64 { return c.Lost },
		"broken":   func(c runlog.Counts) uint64 { return c.Lost },
	} {
		t.Run(method, func(t *testing.T) {
			rec := load.New(load.Config{
				Client: client, Kinds: []load.Kind{{Name: method, Service: "plots", Method: method, Weight: 1, Timeout: 300 * time.Millisecond}},
				Rate: func(time.Duration) float64 { return 100 }, Duration: 200 * time.Millisecond, Seed: 1, BodySize: 64,
			}).Run(context.Background())
			all, offered := rec.Ended(0, math.MaxInt64), rec.Sum().Offered
			if offered == 0 || of(all) != offered || all.Served+all.Shed+all.Late+all.Lost != offered {
				t.Errorf("%+v of %d actions", all, offered)
			}
			if got := rec.Completed(0, math.MaxInt64); got != all.Served {
				t.Errorf("%d completed, %d served", got, all.Served)
			}
			if early := rec.Ended(0, 200*time.Millisecond); method == "silent" && early != (runlog.Counts{}) {
				t.Errorf("%+v ended before their timeout", early)
			}
		})
	}
}
