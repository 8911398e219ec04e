package daemon_test

import (
	"bytes"
	"context"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"

	"sycamorespread.dev/caller"
	"sycamorespread.dev/sycapb"
)

// The quarantine was lost when all daemons had been restarted one after the other.
func TestQuarantineLostByRollingRestarts(t *testing.T) {
	t.Parallel()
	f := newCluster(t)
	f.add("front", 10)
	crashes := atomic.Int64{}
	for range 4 {
		n := f.add("back", 10)
		n.fakeServer.run = func(ctx context.Context, m *sycapb.RunRequest) (*sycapb.RunReply, error) {
			if !bytes.Equal(m.Body, []byte("poison")) {
				return echo(ctx, m)
			}
			crashes.Add(1)
			f.g.Go(func() error {
				n.crash()
				return nil
			})
			<-ctx.Done()
			return nil, ctx.Err()
		}
	}
	f.awaitReady()
	poison := caller.Request{Service: "back", Method: "get", Body: []byte("poison"), Timeout: 2 * time.Second}
	for range 3 {
		f.client(0, f.nodes...).Do(context.Background(), poison)
	}
	before := crashes.Load()
	for range 2 {
		for _, n := range f.nodes {
			n.stop()
			if err := <-n.done; err != nil {
				t.Fatal(err)
			}
			f.run(n)
			for end := time.Now().Add(readyTimeout); n.knownMembers() < len(f.nodes); time.Sleep(10 * time.Millisecond) {
				if time.Now().After(end) {
					t.Fatalf("%s knows %d members", n.cfg.ID, n.knownMembers())
				}
			}
		}
	}
	for _, n := range f.nodes {
		q, err := n.operator().Quarantine(context.Background(), connect.NewRequest(&sycapb.QuarantineRequest{}))
		if err != nil || len(q.Msg.Rows) != 1 || !q.Msg.Rows[0].Quarantined {
			t.Errorf("%s has %v %v", n.cfg.ID, q, err)
		}
	}
	res := f.client(0, f.nodes...).Do(context.Background(), poison)
	if n := crashes.Load(); n != before || res.Reason != sycapb.Reason_REASON_QUARANTINED {
		t.Errorf("%d crashes before the restarts, %d after, last call %s %s", before, n, res.Outcome, res.Reason)
	}
}

// knownMembers returns the number of live members, with and without a backend server.
func (n *node) knownMembers() int {
	r, err := n.operator().Members(context.Background(), connect.NewRequest(&sycapb.MembersRequest{}))
	if err != nil {
		return 0
	}
	live := 0
	for _, m := range r.Msg.Members {
		if m.Entry.State == sycapb.MemberState_MEMBER_STATE_ALIVE && !m.Entry.Leaving {
			live++
		}
	}
	return live
}
