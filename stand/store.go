package main

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"github.com/spf13/cobra"
	"google.golang.org/protobuf/proto"

	"sycamorespread.dev/sycapb"
)

// maxValue bounds a stored value, in bytes.
const maxValue = 1 << 20

func storeCommand() *cobra.Command {
	var addr string
	c := &cobra.Command{Use: "store", Short: "Stand-in of the platform's key-value service", Args: cobra.NoArgs}
	c.Flags().StringVar(&addr, "addr", "127.0.0.1:7000", "IP:PORT to listen on")
	c.RunE = func(c *cobra.Command, _ []string) error {
		s := newStore()
		mux := http.NewServeMux()
		mux.Handle(sycapb.NewStoreHandler(s))
		mux.Handle(sycapb.NewStoreControlHandler(s))
		return serveHTTP(c.Context(), addr, mux)
	}
	return c
}

type lease struct {
	ttl     time.Duration
	expires time.Time
	keys    map[string]bool
}

// store is the stand-in: a map with versions, leases, watches and faults.
type store struct {
	mu      sync.Mutex
	items   map[string]*sycapb.Item
	old     map[string][]*sycapb.Item
	version uint64
	leases  map[uint64]*lease
	changed chan struct{}
	faults  *sycapb.StoreFaults
	counts  *sycapb.StoreCounts
}

func newStore() *store {
	return &store{
		items:   map[string]*sycapb.Item{},
		old:     map[string][]*sycapb.Item{},
		leases:  map[uint64]*lease{},
		changed: make(chan struct{}),
		faults:  &sycapb.StoreFaults{},
		counts:  &sycapb.StoreCounts{},
	}
}

// enter applies the faults to a call, then locks the store.
func (s *store) enter(ctx context.Context) error {
	s.mu.Lock()
	down, delay := s.faults.Down, time.Duration(s.faults.DelayMs)*time.Millisecond
	s.mu.Unlock()
	if delay > 0 {
		select {
		case <-time.After(delay):
		case <-ctx.Done():
		}
	}
	if down {
		return connect.NewError(connect.CodeUnavailable, errors.New("the store is down"))
	}
	s.mu.Lock()
	s.expire()
	return nil
}

// expire drops the keys of leases that ran out.
func (s *store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.Before(l.expires) {
			continue
		}
		for key := range l.keys {
			delete(s.items, key)
		}
		delete(s.leases, id)
		s.wake()
	}
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) item(key string) *sycapb.Item {
	if it, ok := s.items[key]; ok {
		return it
	}
	return &sycapb.Item{Key: key}
}

// Get implements the schema's Store service.
func (s *store) Get(ctx context.Context, req *connect.Request[sycapb.GetRequest]) (*connect.Response[sycapb.Item], error) {
	if err := s.enter(ctx); err != nil {
		return nil, err
	}
	defer s.mu.Unlock()
	s.counts.Reads++
	return connect.NewResponse(s.item(req.Msg.Key)), nil
}

// Put implements the schema's Store service.
func (s *store) Put(ctx context.Context, req *connect.Request[sycapb.PutRequest]) (*connect.Response[sycapb.PutReply], error) {
	if err := s.enter(ctx); err != nil {
		return nil, err
	}
	defer s.mu.Unlock()
	s.counts.Writes++
	m := req.Msg
	cur := s.item(m.Key)
	if len(m.Value) > maxValue {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("the value is too large"))
	}
	l, ok := s.leases[m.Lease]
	if cur.Version != m.Base || m.Lease != 0 && !ok {
		return connect.NewResponse(&sycapb.PutReply{Item: cur}), nil
	}
	s.version++
	next := &sycapb.Item{Key: m.Key, Value: m.Value, Version: s.version}
	s.old[m.Key] = append(s.old[m.Key], cur)
	s.items[m.Key] = next
	if ok {
		l.keys[m.Key] = true
	}
	s.wake()
	if s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("the answer was lost"))
	}
	return connect.NewResponse(&sycapb.PutReply{Swapped: true, Item: next}), nil
}

// List implements the schema's Store service.
func (s *store) List(ctx context.Context, req *connect.Request[sycapb.ListRequest]) (*connect.Response[sycapb.ListReply], error) {
	if err := s.enter(ctx); err != nil {
		return nil, err
	}
	defer s.mu.Unlock()
	s.counts.Reads++
	reply := &sycapb.ListReply{}
	for key, it := range s.items {
		if strings.HasPrefix(key, req.Msg.Prefix) {
			reply.Items = append(reply.Items, it)
		}
	}
	return connect.NewResponse(reply), nil
}

// Watch implements the schema's Store service.
func (s *store) Watch(ctx context.Context, req *connect.Request[sycapb.WatchRequest], out *connect.ServerStream[sycapb.Item]) error {
	if err := s.enter(ctx); err != nil {
		return err
	}
	s.counts.Watches++
	s.mu.Unlock()
	sent := req.Msg.Version
	first := true
	for {
		s.mu.Lock()
		it, changed, down := s.item(req.Msg.Key), s.changed, s.faults.Down
		s.mu.Unlock()
		if down {
			return connect.NewError(connect.CodeUnavailable, errors.New("the store is down"))
		}
		if first || it.Version != sent {
			if err := out.Send(it); err != nil {
				return err
			}
			sent, first = it.Version, false
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

// Grant implements the schema's Store service.
func (s *store) Grant(ctx context.Context, req *connect.Request[sycapb.GrantRequest]) (*connect.Response[sycapb.GrantReply], error) {
	if err := s.enter(ctx); err != nil {
		return nil, err
	}
	defer s.mu.Unlock()
	s.counts.Writes++
	s.version++
	ttl := time.Duration(req.Msg.TtlMs) * time.Millisecond
	s.leases[s.version] = &lease{ttl: ttl, expires: time.Now().Add(ttl), keys: map[string]bool{}}
	return connect.NewResponse(&sycapb.GrantReply{Lease: s.version}), nil
}

// Renew implements the schema's Store service.
func (s *store) Renew(ctx context.Context, req *connect.Request[sycapb.RenewRequest]) (*connect.Response[sycapb.RenewReply], error) {
	if err := s.enter(ctx); err != nil {
		return nil, err
	}
	defer s.mu.Unlock()
	s.counts.Writes++
	l, ok := s.leases[req.Msg.Lease]
	if ok {
		l.expires = time.Now().Add(l.ttl)
	}
	return connect.NewResponse(&sycapb.RenewReply{Alive: ok}), nil
}

// SetFaults implements the schema's StoreControl service.
func (s *store) SetFaults(_ context.Context, req *connect.Request[sycapb.StoreFaults]) (*connect.Response[sycapb.FaultsReply], error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = proto.Clone(req.Msg).(*sycapb.StoreFaults)
	if req.Msg.RestoreOldestHead {
		s.restoreHead()
	}
	s.wake()
	return connect.NewResponse(&sycapb.FaultsReply{Counts: proto.Clone(s.counts).(*sycapb.StoreCounts)}), nil
}

// restoreHead puts the first policy head back, as an old backup would.
func (s *store) restoreHead() {
	const head = "policy/head"
	old := s.old[head]
	if len(old) < 2 {
		return
	}
	s.version++
	s.items[head] = &sycapb.Item{Key: head, Value: old[1].Value, Version: s.version}
}
