// Package fakekv simulates the platform's key-value service in memory, for tests
// and for the simulator process.
//
// It has the properties that clients have to cope with: a single revision counter,
// leases, watches that continue from a revision, and outages. A store can also be
// restored from a copy. It then no longer has what was written since, and gives out
// the revisions and lease IDs after the copy a second time, in the next era.
//
//	s := fakekv.New(time.Now)
//	c := store.New(s.Transport(), limits)
//	backup := s.Copy()
//	s.Restore(backup, true)
package fakekv

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"sycamorespread.dev/store"
)

const (
	// maxValueBytes is the maximum size of a stored value.
	maxValueBytes = 1 << 20
	// pageSize is the number of items on a page.
	pageSize = 50
	// maxHistory is the number of past changes that are kept for watches.
	maxHistory = 1000
)

// errResponseLost makes the HTTP handler abort the connection without a response.
var errResponseLost = errors.New("the response is lost")

// errWatchCut ends the waiting watches of a store that is restored.
var errWatchCut = errors.New("the watch is cut")

// Faults are the faults of a Store.
type Faults struct {
	// Down makes every call fail.
	Down bool
	// Delay delays every call.
	Delay time.Duration
	// LostResponses is the number of writes to come that are executed without a response.
	LostResponses uint32
}

// Counts are the numbers of executed calls.
type Counts struct {
	Reads, Writes, Watches uint64
}

// Copy is the state of a Store at a time.
type Copy struct {
	items    map[string]store.Item
	leases   map[uint64]lease
	revision uint64
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// Store is a simulated key-value service. It is safe for concurrent use.
type Store struct {
	now func() time.Time

	mu       sync.Mutex
	items    map[string]store.Item
	leases   map[uint64]lease
	history  []store.Event
	revision uint64
	era      uint64
	// cutEra is the latest era at whose beginning the waiting watches were cut.
	cutEra  uint64
	changed chan struct{}
	faults  Faults
	counts  Counts
	// first holds the first value of each key.
	first map[string]store.Item
}

// New returns an empty store.
func New(now func() time.Time) *Store {
	return &Store{
		now: now, items: map[string]store.Item{}, leases: map[uint64]lease{}, revision: 1, changed: make(chan struct{}), first: map[string]store.Item{},
	}
}

// Transport returns the calls of the store.
func (s *Store) Transport() store.Transport {
	return store.Transport{Get: s.get, Range: s.listPage, Watch: s.watch, Write: s.write, Grant: s.grant, Renew: s.renew}
}

// SetFaults replaces the faults and returns the calls executed so far.
func (s *Store) SetFaults(f Faults) Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.notify()
	return s.counts
}

// Copy returns a copy of the present state.
func (s *Store) Copy() *Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &Copy{items: maps.Clone(s.items), leases: maps.Clone(s.leases), revision: s.revision}
}

// Restore replaces the state by that of a copy, and begins the next era. Leases of
// the copy last for their whole time again. Waiting watches fail if cut is set;
// otherwise they go on waiting for revisions after theirs.
func (s *Store) Restore(c *Copy, cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.revision = c.revision
	s.items = map[string]store.Item{}
	for key, it := range c.items {
		s.items[key] = s.inEra(it)
	}
	s.leases = map[uint64]lease{}
	for id, l := range c.leases {
		s.leases[id] = lease{ttl: l.ttl, expires: s.now().Add(l.ttl)}
	}
	s.history = slices.DeleteFunc(s.history, func(e store.Event) bool { return e.Revision.Number > c.revision })
	if cut {
		s.cutEra = s.era
		s.notify()
	}
}

// RestoreFirst writes the first value of a key once more, as the restore of an old
// backup of that key would. It has no effect on a key that was written once.
func (s *Store) RestoreFirst(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	first, ok := s.first[key]
	if ok && s.items[key].Revision.Number != first.Revision.Number {
		s.put(key, first.Value, store.Lease{})
	}
}

// inEra returns an item with the present era. The caller must hold s.mu.
func (s *Store) inEra(it store.Item) store.Item {
	it.Revision.Era = s.era
	if it.Lease.ID != 0 {
		it.Lease.Era = s.era
	}
	return it
}

// at returns a number in the present era. The caller must hold s.mu.
func (s *Store) at(number uint64) store.Revision {
	return store.Revision{Era: s.era, Number: number}
}

// begin applies the faults to a call and locks the store; s.mu is held if it returns
// no error.
func (s *Store) begin(ctx context.Context) error {
	s.mu.Lock()
	down, delay := s.faults.Down, s.faults.Delay
	s.mu.Unlock()
	if delay > 0 {
		t := time.NewTimer(delay)
		defer t.Stop()
		select {
		case <-t.C:
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

// expire deletes the expired leases and their keys. The caller must hold s.mu.
func (s *Store) expire() {
	now := s.now()
	for id, l := range s.leases {
		if now.Before(l.expires) {
			continue
		}
		delete(s.leases, id)
		for key, it := range s.items {
			if it.Lease.ID == id {
				delete(s.items, key)
				s.revision++
				s.record(store.Event{Item: store.Item{Key: key, Revision: s.at(s.revision)}, Deleted: true})
			}
		}
	}
}

// record adds a change to the history and wakes the watches. The caller must hold
// s.mu.
func (s *Store) record(e store.Event) {
	s.history = append(s.history, e)
	if len(s.history) > maxHistory {
		s.history = s.history[1:]
	}
	s.notify()
}

// notify wakes the watches. The caller must hold s.mu.
func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// item returns the item of a key, which may not exist. The caller must hold s.mu.
func (s *Store) item(key string) store.Item {
	if it, ok := s.items[key]; ok {
		return it
	}
	return store.Item{Key: key, Revision: s.at(0)}
}

// put stores a value. The caller must hold s.mu.
func (s *Store) put(key string, value []byte, l store.Lease) store.Item {
	s.revision++
	it := s.inEra(store.Item{Key: key, Value: value, Revision: s.at(s.revision), Lease: l})
	if _, ok := s.first[key]; !ok {
		s.first[key] = it
	}
	s.items[key] = it
	s.record(store.Event{Item: it})
	return it
}

// Put stores a value without a condition, as another client of the store.
func (s *Store) Put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, value, store.Lease{})
}

func (s *Store) get(ctx context.Context, key string) (store.Item, error) {
	if err := s.begin(ctx); err != nil {
		return store.Item{}, err
	}
	defer s.mu.Unlock()
	s.counts.Reads++
	it := s.item(key)
	it.StoreRevision = s.at(s.revision)
	return it, nil
}

func (s *Store) write(ctx context.Context, c store.ConditionalWrite) (store.WriteResult, error) {
	if err := s.begin(ctx); err != nil {
		return store.WriteResult{}, err
	}
	defer s.mu.Unlock()
	s.counts.Writes++
	current := s.item(c.Key)
	_, ok := s.leases[c.Lease.ID]
	switch {
	case len(c.Value) > maxValueBytes:
		return store.WriteResult{}, &store.RejectedError{Status: http.StatusRequestEntityTooLarge}
	case c.Lease.ID != 0 && !ok:
		return store.WriteResult{LeaseExpired: true, Item: store.Item{Key: c.Key, Revision: s.at(0)}}, nil
	case current.Revision.Number != c.BaseRevision.Number:
		return store.WriteResult{Item: current}, nil
	}
	next := s.put(c.Key, c.Value, c.Lease)
	if s.faults.LostResponses > 0 {
		s.faults.LostResponses--
		return store.WriteResult{}, errResponseLost
	}
	return store.WriteResult{Swapped: true, Item: next}, nil
}

func (s *Store) listPage(ctx context.Context, prefix, after string, _ bool) (store.Page, error) {
	if err := s.begin(ctx); err != nil {
		return store.Page{}, err
	}
	defer s.mu.Unlock()
	s.counts.Reads++
	p := store.Page{Revision: s.at(s.revision)}
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

func (s *Store) watch(ctx context.Context, prefix string, after store.Revision, wait time.Duration) ([]store.Event, store.Revision, error) {
	if err := s.begin(ctx); err != nil {
		return nil, store.Revision{}, err
	}
	s.counts.Watches++
	era := s.era
	compacted := after.Number > s.revision || len(s.history) == maxHistory && s.history[0].Revision.Number > after.Number+1
	s.mu.Unlock()
	if compacted {
		return nil, store.Revision{}, &store.CompactedError{After: after}
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		s.mu.Lock()
		events, revision, changed, down, cut := s.since(prefix, after.Number), s.at(s.revision), s.changed, s.faults.Down, era < s.cutEra
		s.mu.Unlock()
		switch {
		case down:
			return nil, store.Revision{}, &store.RejectedError{Status: http.StatusServiceUnavailable}
		case cut:
			return nil, store.Revision{}, errWatchCut
		case len(events) > 0 || ctx.Err() != nil:
			return events, revision, nil
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}

// since returns the changes after a revision to keys with the prefix. The caller must
// hold s.mu.
func (s *Store) since(prefix string, after uint64) []store.Event {
	var list []store.Event
	for _, e := range s.history {
		if e.Revision.Number > after && strings.HasPrefix(e.Key, prefix) {
			list = append(list, e)
		}
	}
	return list
}

func (s *Store) grant(ctx context.Context, ttl time.Duration) (store.Lease, error) {
	if err := s.begin(ctx); err != nil {
		return store.Lease{}, err
	}
	defer s.mu.Unlock()
	s.counts.Writes++
	s.revision++
	s.leases[s.revision] = lease{ttl: ttl, expires: s.now().Add(ttl)}
	return store.Lease{Era: s.era, ID: s.revision}, nil
}

func (s *Store) renew(ctx context.Context, id uint64) (alive bool, era uint64, err error) {
	if err := s.begin(ctx); err != nil {
		return false, 0, err
	}
	defer s.mu.Unlock()
	s.counts.Reads++
	l, ok := s.leases[id]
	if ok {
		l.expires = s.now().Add(l.ttl)
		s.leases[id] = l
	}
	return ok, s.era, nil
}
