package main

import (
	"context"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"sycamorespread.dev/fakekv"
	"sycamorespread.dev/platform"
	"sycamorespread.dev/sycapb"
)

const (
	// headKey is the key of the policy head.
	headKey = "policy/head"
	// copyInterval is the time between two copies of the store, maxCopies the number that is kept.
	copyInterval = 250 * time.Millisecond
	maxCopies    = 80
)

func storeCommand() *cobra.Command {
	var addr string
	c := &cobra.Command{Use: "store", Short: "Simulate the platform's key-value service", Args: cobra.NoArgs}
	c.Flags().StringVar(&addr, "addr", "127.0.0.1:7000", "IP:PORT to listen on")
	c.RunE = func(c *cobra.Command, _ []string) error {
		s := &storeControl{kv: fakekv.New(time.Now)}
		mux := http.NewServeMux()
		mux.Handle("/", platform.StoreHandler(s.kv.Transport()))
		mux.Handle(sycapb.NewStoreControlHandler(s))
		g, ctx := errgroup.WithContext(c.Context())
		g.Go(func() error { return s.copyLoop(ctx) })
		g.Go(func() error { return serveHTTP(ctx, addr, mux) })
		return g.Wait()
	}
	return c
}

// storeControl injects faults into a simulated store.
type storeControl struct {
	kv *fakekv.Store

	mu     sync.Mutex
	copies []timedCopy
}

// timedCopy is a copy of the store, taken at a time.
type timedCopy struct {
	at   time.Time
	copy *fakekv.Copy
}

// copyLoop keeps the copies from which the store can be restored.
func (s *storeControl) copyLoop(ctx context.Context) error {
	t := time.NewTicker(copyInterval)
	defer t.Stop()
	for {
		s.mu.Lock()
		s.copies = append(s.copies, timedCopy{at: time.Now(), copy: s.kv.Copy()})
		s.copies = s.copies[max(0, len(s.copies)-maxCopies):]
		s.mu.Unlock()
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}

// restore restores the store from the latest copy that is at least as old as age, or
// from the oldest one. Later copies belong to the lost history.
func (s *storeControl) restore(age time.Duration, cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := len(s.copies) - 1
	for last > 0 && time.Since(s.copies[last].at) < age {
		last--
	}
	s.copies = s.copies[:last+1]
	s.kv.Restore(s.copies[last].copy, cut)
}

// SetFaults implements the StoreControl service.
func (s *storeControl) SetFaults(_ context.Context, req *connect.Request[sycapb.StoreFaults]) (*connect.Response[sycapb.FaultsReply], error) {
	m := req.Msg
	if m.RestoreAgeMs > 0 {
		s.restore(time.Duration(m.RestoreAgeMs)*time.Millisecond, m.CutWatches)
	}
	if m.RestoreOldestHead {
		s.kv.RestoreFirst(headKey)
	}
	n := s.kv.SetFaults(fakekv.Faults{Down: m.Down, Delay: time.Duration(m.DelayMs) * time.Millisecond, LostResponses: m.LoseAnswers})
	return connect.NewResponse(&sycapb.FaultsReply{Counts: &sycapb.StoreCounts{Reads: n.Reads, Writes: n.Writes, Watches: n.Watches}}), nil
}
