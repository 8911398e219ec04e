package main

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"github.com/spf13/cobra"
	"google.golang.org/protobuf/proto"

	"sycamorespread.dev/platform"
	"sycamorespread.dev/store"
	"sycamorespread.dev/sycapb"
)

const (
	// maxValue is the maximum size of a stored value in bytes.
	maxValue = 1 << 20
	// pageSize is the number of items on a page.
	pageSize = 50
	// maxHistory is the number of past changes that are kept for watches.
	maxHistory = 1000
)

// errResponseLost makes the handler abort the connection without a response.
var errResponseLost = errors.New("the response is lost")

func storeCommand() *cobra.Command {
	var addr string
	c := &cobra.Command{Use: "store", Short: "Simulate the platform's key-value service", Args: cobra.NoArgs}
	c.Flags().StringVar(&addr, "addr", "127.0.0.1:7000", "IP:PORT to listen on")
	c.RunE = func(c *cobra.Command, _ []string) error {
		s := newFakeStore()
		mux := http.NewServeMux()
		mux.Handle("/", platform.StoreHandler(s.transport()))
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

// fakeStore simulates the key-value service with a map, revisions, leases, watches
// and injected faults.
type fakeStore struct {
	mu           sync.Mutex
	items        map[string]store.Item
	headVersions []store.Item
	history      []store.Event
	revision     uint64
	leases       map[uint64]*lease
	changed      chan struct{}
	faults       *sycapb.StoreFaults
	counts       *sycapb.StoreCounts
}

func newFakeStore() *fakeStore {
	return &fakeStore{
		items:    map[string]store.Item{},
		revision: 1,
		leases:   map[uint64]*lease{},
		changed:  make(chan struct{}),
		faults:   &sycapb.StoreFaults{},
		counts:   &sycapb.StoreCounts{},
	}
}

func (s *fakeStore) transport() store.Transport {
	return store.Transport{Get: s.get, Range: s.listPage, Watch: s.watch, Write: s.write, Grant: s.grant, Renew: s.renew}
}

// begin applies the injected faults to a call and locks the store; s.mu is held if
// it returns no error.
func (s *fakeStore) begin(ctx context.Context) error {
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
		return &store.RejectedError{Status: http.StatusServiceUnavailable}
	}
	s.mu.Lock()
	s.expire()
	return nil
}

// expire deletes the expired leases and their keys; s.mu is held.
func (s *fakeStore) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.Before(l.expires) {
			continue
		}
		for key := range l.keys {
			delete(s.items, key)
			s.revision++
			s.record(store.Event{Item: store.Item{Key: key, Revision: s.revision}, Deleted: true})
		}
		delete(s.leases, id)
	}
}

// record adds a change to the history and wakes the watches; s.mu is held.
func (s *fakeStore) record(e store.Event) {
	s.history = append(s.history, e)
	if len(s.history) > maxHistory {
		s.history = s.history[1:]
	}
	s.notifyWatchers()
}

func (s *fakeStore) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeStore) item(key string) store.Item {
	if it, ok := s.items[key]; ok {
		return it
	}
	return store.Item{Key: key}
}

func (s *fakeStore) get(ctx context.Context, key string) (store.Item, error) {
	if err := s.begin(ctx); err != nil {
		return store.Item{}, err
	}
	defer s.mu.Unlock()
	s.counts.Reads++
	it := s.item(key)
	it.StoreRevision = s.revision
	return it, nil
}

func (s *fakeStore) write(ctx context.Context, c store.ConditionalWrite) (store.WriteResult, error) {
	if err := s.begin(ctx); err != nil {
		return store.WriteResult{}, err
	}
	defer s.mu.Unlock()
	s.counts.Writes++
	current := s.item(c.Key)
	l, ok := s.leases[c.Lease]
	switch {
	case len(c.Value) > maxValue:
		return store.WriteResult{}, &store.RejectedError{Status: http.StatusRequestEntityTooLarge}
	case c.Lease != 0 && !ok:
		return store.WriteResult{LeaseExpired: true}, nil
	case current.Revision != c.BaseRevision:
		return store.WriteResult{Item: current}, nil
	}
	s.revision++
	next := store.Item{Key: c.Key, Value: c.Value, Revision: s.revision, Lease: c.Lease}
	if c.Key == headKey {
		s.headVersions = append(s.headVersions, next)
	}
	s.items[c.Key] = next
	if ok {
		l.keys[c.Key] = true
	}
	s.record(store.Event{Item: next})
	if s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
		return store.WriteResult{}, errResponseLost
	}
	return store.WriteResult{Swapped: true, Item: next}, nil
}

func (s *fakeStore) listPage(ctx context.Context, prefix, after string, _ bool) (store.Page, error) {
	if err := s.begin(ctx); err != nil {
		return store.Page{}, err
	}
	defer s.mu.Unlock()
	s.counts.Reads++
	p := store.Page{Revision: s.revision}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			p.Items = append(p.Items, it)
		}
	}
	slices.SortFunc(p.Items, func(a, b store.Item) int { return strings.Compare(a.Key, b.Key) })
	if len(p.Items) > pageSize {
		p.Items, p.HasMore = p.Items[:pageSize], true
	}
	return p, nil
}

func (s *fakeStore) watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]store.Event, uint64, error) {
	if err := s.begin(ctx); err != nil {
		return nil, 0, err
	}
	s.counts.Watches++
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		s.mu.Lock()
		events, revision, changed, down := s.since(prefix, after), s.revision, s.changed, s.faults.Down
		compacted := len(s.history) == maxHistory && s.history[0].Revision > after+1
		s.mu.Unlock()
		switch {
		case down:
			return nil, 0, &store.RejectedError{Status: http.StatusServiceUnavailable}
		case compacted:
			return nil, 0, &store.CompactedError{After: after}
		case len(events) > 0 || ctx.Err() != nil:
			return events, revision, nil
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}

// since returns the changes after a revision to keys with the prefix; s.mu is held.
func (s *fakeStore) since(prefix string, after uint64) []store.Event {
	var list []store.Event
	for _, e := range s.history {
		if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
			list = append(list, e)
		}
	}
	return list
}

func (s *fakeStore) grant(ctx context.Context, ttl time.Duration) (uint64, error) {
	if err := s.begin(ctx); err != nil {
		return 0, err
	}
	defer s.mu.Unlock()
	s.counts.Writes++
	s.revision++
	s.leases[s.revision] = &lease{ttl: ttl, expires: time.Now().Add(ttl), keys: map[string]bool{}}
	return s.revision, nil
}

func (s *fakeStore) renew(ctx context.Context, id uint64) (bool, error) {
	if err := s.begin(ctx); err != nil {
		return false, err
	}
	defer s.mu.Unlock()
	s.counts.Reads++
	l, ok := s.leases[id]
	if ok {
		l.expires = time.Now().Add(l.ttl)
	}
	return ok, nil
}

// SetFaults implements the StoreControl service.
func (s *fakeStore) SetFaults(_ context.Context, req *connect.Request[sycapb.StoreFaults]) (*connect.Response[sycapb.FaultsReply], error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = proto.Clone(req.Msg).(*sycapb.StoreFaults)
	if req.Msg.RestoreOldestHead {
		s.restoreOldestHead()
	}
	s.notifyWatchers()
	return connect.NewResponse(&sycapb.FaultsReply{Counts: proto.Clone(s.counts).(*sycapb.StoreCounts)}), nil
}

// headKey is the key of the policy head.
const headKey = "policy/head"

// restoreOldestHead restores the first policy head, as restoring an old backup would.
func (s *fakeStore) restoreOldestHead() {
	if len(s.headVersions) < 2 {
		return
	}
	s.revision++
	it := s.headVersions[0]
	it.Revision = s.revision
	s.items[headKey] = it
	s.record(store.Event{Item: it})
}
