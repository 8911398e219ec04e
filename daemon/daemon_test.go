package daemon_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"golang.org/x/sync/errgroup"

	"sycamorespread.dev/action"
	"sycamorespread.dev/caller"
	"sycamorespread.dev/sycapb"
)

func writeFile(t *testing.T, file, text string) {
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

func view(body string) caller.Request {
	return caller.Request{Service: "front", Method: "view", Body: []byte(body), Timeout: 3 * time.Second}
}

func pay(body string) caller.Request {
	return caller.Request{Service: "front", Method: "pay", Body: []byte(body), NonIdempotent: true, Timeout: 5 * time.Second}
}

// callDownstream makes each run on the backend server of n call back.get.
func (n *node) callDownstream(t *testing.T) {
	egress := sycapb.NewEgressClient(http.DefaultClient, "http://"+n.cfg.HTTPAddr.String())
	n.fakeServer.run = func(ctx context.Context, m *sycapb.RunRequest) (*sycapb.RunReply, error) {
		r, err := egress.Deeper(ctx, connect.NewRequest(&sycapb.DeeperCall{RunId: m.RunId, Service: "back", Method: "get", Body: m.Body}))
		if err != nil {
			return nil, err
		}
		if r.Msg.Outcome != sycapb.Outcome_OUTCOME_DONE {
			t.Logf("downstream call: %s %s %s", r.Msg.Outcome, r.Msg.Reason, r.Msg.Detail)
			return &sycapb.RunReply{DeeperFailed: true}, nil
		}
		return &sycapb.RunReply{Body: r.Msg.Body}, nil
	}
}

func TestCallAcrossTwoServices(t *testing.T) {
	t.Parallel()
	f := newCluster(t)
	front, back := f.add("front", 10), f.add("back", 10)
	front.callDownstream(t)
	f.awaitReady()
	res := f.client(0, back).Do(context.Background(), view("hello"))
	if res.Outcome != sycapb.Outcome_OUTCOME_DONE || string(res.Body) != "hello" {
		t.Fatalf("%s %s %s", res.Outcome, res.Reason, res.Detail)
	}
}

func TestRunWithDownstreamCallIsNeverReportedNotRun(t *testing.T) {
	t.Parallel()
	f := newCluster(t)
	front, back := f.add("front", 10), f.add("back", 10)
	front.callDownstream(t)
	back.fakeServer.run = func(context.Context, *sycapb.RunRequest) (*sycapb.RunReply, error) {
		return &sycapb.RunReply{Refused: true}, nil
	}
	f.awaitReady()
	res := f.client(0, back).Do(context.Background(), view("hello"))
	if res.Outcome != sycapb.Outcome_OUTCOME_FAILED || res.Reason != sycapb.Reason_REASON_DEEPER {
		t.Fatalf("%s %s, want failed by a downstream call", res.Outcome, res.Reason)
	}
	direct := f.client(0, front).Do(context.Background(), caller.Request{Service: "back", Method: "get", Timeout: time.Second})
	if direct.Outcome != sycapb.Outcome_OUTCOME_NOTRUN {
		t.Fatalf("%s, want not run when the only server refused", direct.Outcome)
	}
}

func TestInvalidInputNamesTheField(t *testing.T) {
	t.Parallel()
	f := newCluster(t)
	n := f.add("front", 10)
	f.add("back", 10)
	f.awaitReady()
	id := action.NewID()
	good := func() *sycapb.Call {
		return &sycapb.Call{ActionId: id[:], Service: "back", Method: "get", TimeoutUs: 1_000_000}
	}
	for field, change := range map[string]func(*sycapb.Call){
		"action_id":  func(c *sycapb.Call) { c.ActionId = []byte("short") },
		"service":    func(c *sycapb.Call) { c.Service = "nowhere" },
		"method":     func(c *sycapb.Call) { c.Method = "nothing" },
		"body":       func(c *sycapb.Call) { c.Body = make([]byte, 1001) },
		"digest":     func(c *sycapb.Call) { c.Digest = 1 },
		"timeout_us": func(c *sycapb.Call) { c.TimeoutUs = -5 },
		"ticket":     func(c *sycapb.Call) { c.Service, c.Method = "front", "pay" },
		"key":        func(c *sycapb.Call) { c.Service, c.Method, c.Key = "front", "pay", string(make([]byte, 129)) },
	} {
		c := good()
		change(c)
		r, err := n.entry().Submit(context.Background(), connect.NewRequest(c))
		if err != nil {
			t.Fatalf("%s: %v", field, err)
		}
		if r.Msg.Outcome != sycapb.Outcome_OUTCOME_NOTRUN || r.Msg.Reason != sycapb.Reason_REASON_INVALID || r.Msg.Field != field {
			t.Errorf("%s: %s %s field=%q %s", field, r.Msg.Outcome, r.Msg.Reason, r.Msg.Field, r.Msg.Detail)
		}
	}
	r, err := n.entry().Submit(context.Background(), connect.NewRequest(good()))
	if err != nil || r.Msg.Outcome != sycapb.Outcome_OUTCOME_DONE {
		t.Fatalf("a valid call after the invalid ones: %v %v", r, err)
	}
}

// If the backend server of a ticket's issuer crashes during the run, the outcome
// is unknown and no resend through any entry may run the call again.
func TestNonIdempotentCallIsNotRerunAfterCrash(t *testing.T) {
	t.Parallel()
	f := newCluster(t)
	a, b := f.add("front", 10), f.add("front", 10)
	entry := f.add("back", 10)
	f.awaitReady()
	for _, n := range []*node{a, b} {
		n.fakeServer.run = func(ctx context.Context, _ *sycapb.RunRequest) (*sycapb.RunReply, error) {
			f.g.Go(func() error {
				n.crash()
				return nil
			})
			<-ctx.Done()
			return nil, ctx.Err()
		}
	}
	req := pay("season 2027")
	req.Timeout = 2 * time.Second
	res := f.client(8, entry, a, b).Do(context.Background(), req)
	if res.Outcome != sycapb.Outcome_OUTCOME_UNKNOWN {
		t.Fatalf("%s %s, want unknown", res.Outcome, res.Reason)
	}
	if n := a.runs.Load() + b.runs.Load(); n != 1 {
		t.Fatalf("the call ran %d times", n)
	}
}

func TestTicketResentThroughOtherEntriesRunsOnce(t *testing.T) {
	t.Parallel()
	f := newCluster(t)
	a, b := f.add("front", 10), f.add("front", 10)
	for _, n := range []*node{a, b} {
		n.fakeServer.run = func(ctx context.Context, m *sycapb.RunRequest) (*sycapb.RunReply, error) {
			time.Sleep(100 * time.Millisecond)
			return echo(ctx, m)
		}
	}
	f.awaitReady()
	ctx := context.Background()
	tk, err := a.entry().OpenTicket(ctx, connect.NewRequest(&sycapb.TicketRequest{Service: "front", Method: "pay"}))
	if err != nil || tk.Msg.Ticket == nil {
		t.Fatalf("%v %v", tk, err)
	}
	id := action.NewID()
	var g errgroup.Group
	for i := range 10 {
		n := f.nodes[i%2]
		g.Go(func() error {
			c := &sycapb.Call{ActionId: id[:], AttemptId: uint64(i), Service: "front", Method: "pay", Body: []byte("x"), Ticket: tk.Msg.Ticket, TimeoutUs: 2_000_000}
			r, err := n.entry().Submit(ctx, connect.NewRequest(c))
			if err != nil {
				return err
			}
			if err := action.Verify(c, r.Msg); err != nil {
				return err
			}
			if r.Msg.Outcome != sycapb.Outcome_OUTCOME_DONE || string(r.Msg.Body) != "x" {
				return fmt.Errorf("send %d ended %s %s", i, r.Msg.Outcome, r.Msg.Detail)
			}
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		t.Fatal(err)
	}
	if n := a.runs.Load() + b.runs.Load(); n != 1 {
		t.Fatalf("one ticket ran %d times", n)
	}
}

func TestIdempotencyKeyWithoutPlatformIsNotRun(t *testing.T) {
	t.Parallel()
	f := newCluster(t)
	n := f.add("front", 10)
	f.awaitReady()
	req := pay("x")
	req.IdempotencyKey = "member 7 season 2027"
	res := f.client(0, n).Do(context.Background(), req)
	if res.Outcome != sycapb.Outcome_OUTCOME_NOTRUN || res.Reason != sycapb.Reason_REASON_PLATFORM || n.runs.Load() != 0 {
		t.Fatalf("%s %s runs=%d", res.Outcome, res.Reason, n.runs.Load())
	}
}

// A request that crashes its backend server may crash two of four servers. Its
// resends are refused afterwards, while other calls are still served.
func TestPoisonRequestCrashesTwoServers(t *testing.T) {
	t.Parallel()
	f := newCluster(t)
	entry := f.add("front", 10)
	crashes := atomic.Int64{}
	for range 4 {
		n := f.add("back", 10)
		n.fakeServer.run = func(ctx context.Context, m *sycapb.RunRequest) (*sycapb.RunReply, error) {
			if bytes.Equal(m.Body, []byte("poison")) {
				crashes.Add(1)
				f.g.Go(func() error {
					n.crash()
					return nil
				})
				<-ctx.Done()
				return nil, ctx.Err()
			}
			return echo(ctx, m)
		}
	}
	f.awaitReady()
	poison := caller.Request{Service: "back", Method: "get", Body: []byte("poison"), Timeout: 2 * time.Second}
	var res *caller.Result
	for range 6 {
		res = f.client(0, f.nodes...).Do(context.Background(), poison)
	}
	if n := crashes.Load(); n != 2 {
		t.Errorf("%d backend servers crashed, want 2", n)
	}
	if res.Outcome == sycapb.Outcome_OUTCOME_DONE || res.Reason != sycapb.Reason_REASON_QUARANTINED {
		t.Errorf("the last send ended %s %s", res.Outcome, res.Reason)
	}
	good := f.client(2, entry).Do(context.Background(), caller.Request{Service: "back", Method: "get", Body: []byte("good"), Timeout: time.Second})
	if good.Outcome != sycapb.Outcome_OUTCOME_DONE {
		t.Errorf("another call ended %s %s", good.Outcome, good.Detail)
	}
	q, err := entry.operator().Quarantine(context.Background(), connect.NewRequest(&sycapb.QuarantineRequest{}))
	if err != nil || len(q.Msg.Rows) != 1 || !q.Msg.Rows[0].Quarantined {
		t.Errorf("quarantine lists %v %v", q, err)
	}
}

// Every daemon is restarted in turn under load, and no call may fail.
func TestRollingRestartLosesNoCall(t *testing.T) {
	t.Parallel()
	f := newCluster(t)
	for range 3 {
		f.add("front", 50)
		n := f.add("back", 50)
		n.fakeServer.run = func(ctx context.Context, m *sycapb.RunRequest) (*sycapb.RunReply, error) {
			time.Sleep(20 * time.Millisecond)
			return echo(ctx, m)
		}
	}
	for _, n := range f.nodes {
		if n.cfg.Service == "front" {
			n.callDownstream(t)
		}
	}
	f.awaitReady()
	client := f.client(4, f.nodes...)
	stop := make(chan struct{})
	var sent, succeeded atomic.Int64
	var g errgroup.Group
	for w := range 8 {
		g.Go(func() error {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return nil
				default:
				}
				sent.Add(1)
				body := fmt.Sprintf("%d/%d", w, i)
				res := client.Do(context.Background(), view(body))
				if res.Outcome != sycapb.Outcome_OUTCOME_DONE || string(res.Body) != body {
					t.Errorf("%s %s %s after %d sends", res.Outcome, res.Reason, res.Detail, res.Sends)
					continue
				}
				succeeded.Add(1)
			}
		})
	}
	for _, n := range f.nodes {
		n.stop()
		if err := <-n.done; err != nil {
			t.Errorf("%s stopped with %v", n.cfg.ID, err)
		}
		f.run(n)
		f.awaitReady()
	}
	close(stop)
	_ = g.Wait()
	t.Logf("%d of %d calls succeeded during %d restarts", succeeded.Load(), sent.Load(), len(f.nodes))
}

func TestLeavingServerGetsNoNewWork(t *testing.T) {
	t.Parallel()
	f := newCluster(t)
	entry := f.add("front", 10)
	a, b := f.add("back", 10), f.add("back", 10)
	f.awaitReady()
	if _, err := a.operator().Leave(context.Background(), connect.NewRequest(&sycapb.LeaveRequest{})); err != nil {
		t.Fatal(err)
	}
	time.Sleep(time.Second)
	before := a.runs.Load()
	client := f.client(0, entry)
	for range 50 {
		res := client.Do(context.Background(), caller.Request{Service: "back", Method: "get", Timeout: time.Second})
		if res.Outcome != sycapb.Outcome_OUTCOME_DONE {
			t.Fatalf("%s %s", res.Outcome, res.Detail)
		}
	}
	if a.runs.Load() != before || b.runs.Load() < 50 {
		t.Fatalf("the leaving server ran %d, the other %d", a.runs.Load()-before, b.runs.Load())
	}
}

// A call with a ticket that was opened before its issuer began to leave counts
// as a new call, which the issuer must not run.
func TestLeavingIssuerGetsNoNewTicketedWork(t *testing.T) {
	t.Parallel()
	f := newCluster(t)
	a := f.add("front", 10)
	f.awaitReady()
	ctx := context.Background()
	tk, err := a.entry().OpenTicket(ctx, connect.NewRequest(&sycapb.TicketRequest{Service: "front", Method: "pay"}))
	if err != nil || tk.Msg.Ticket == nil {
		t.Fatalf("%v %v", tk, err)
	}
	b := f.add("front", 10)
	f.awaitReady()
	if _, err := a.operator().Leave(ctx, connect.NewRequest(&sycapb.LeaveRequest{})); err != nil {
		t.Fatal(err)
	}
	id := action.NewID()
	c := &sycapb.Call{ActionId: id[:], Service: "front", Method: "pay", Ticket: tk.Msg.Ticket, TimeoutUs: 1_000_000, First: true}
	r, err := b.entry().Submit(ctx, connect.NewRequest(c))
	if err != nil || r.Msg.Outcome != sycapb.Outcome_OUTCOME_NOTRUN || a.runs.Load() != 0 {
		t.Fatalf("%v %v, the leaving issuer ran %d", r, err, a.runs.Load())
	}
	res := f.client(2, b).Do(ctx, pay("again"))
	if res.Outcome != sycapb.Outcome_OUTCOME_DONE || b.runs.Load() != 1 {
		t.Fatalf("%s %s, the other instance ran %d", res.Outcome, res.Detail, b.runs.Load())
	}
}

func TestCancellationReachesDownstreamRun(t *testing.T) {
	t.Parallel()
	f := newCluster(t)
	front, back := f.add("front", 10), f.add("back", 10)
	front.callDownstream(t)
	cancelled := make(chan struct{})
	back.fakeServer.run = func(ctx context.Context, _ *sycapb.RunRequest) (*sycapb.RunReply, error) {
		<-ctx.Done()
		close(cancelled)
		return nil, ctx.Err()
	}
	f.awaitReady()
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	req := view("x")
	req.Timeout = 10 * time.Second
	f.client(0, back).Do(ctx, req)
	select {
	case <-cancelled:
	case <-time.After(2 * time.Second):
		t.Fatal("the downstream run continues after the caller cancelled")
	}
}
