package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a value of the store, as the platform's pages describe it.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value"`
	Revision  uint64 `json:"revision"`
	CreatedAt uint64 `json:"created_at"`
	Lease     uint64 `json:"lease"`
}

type event struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	CreatedAt uint64 `json:"created_at,omitempty"`
	Lease     uint64 `json:"lease,omitempty"`
	IsDeleted bool   `json:"is_deleted,omitempty"`
}

type lease struct {
	ttl time.Duration
	end time.Time
}

// kvStore is a stand-in for the platform's metadata store.
type kvStore struct {
	mu      sync.Mutex
	rev     uint64
	next    uint64
	items   map[string]*item
	leases  map[uint64]*lease
	history []event
	changed chan struct{}
	addr    string
	srv     *http.Server
}

func newStore() (*kvStore, error) {
	s := &kvStore{rev: 10, next: 100, items: map[string]*item{}, leases: map[uint64]*lease{}, changed: make(chan struct{})}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.addr = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.get)
	mux.HandleFunc("GET /kv-range", s.list)
	mux.HandleFunc("GET /kv-watch", s.watch)
	mux.HandleFunc("POST /kv-txn", s.txn)
	mux.HandleFunc("POST /kv-lease", s.grant)
	mux.HandleFunc("POST /kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.endLease)
	s.srv = &http.Server{Handler: mux}
	go func() { _ = s.srv.Serve(l) }()
	go s.expire()
	return s, nil
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// record adds an event to the history and wakes the watches; s.mu is held.
func (s *kvStore) record(e event) {
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *kvStore) put(key string, value []byte, leaseID uint64) {
	created := s.rev
	if old := s.items[key]; old != nil {
		created = old.CreatedAt
	}
	s.items[key] = &item{Key: key, Value: value, Revision: s.rev, CreatedAt: created, Lease: leaseID}
	s.record(event{Key: key, Value: value, Revision: s.rev, CreatedAt: created, Lease: leaseID})
}

func (s *kvStore) remove(key string) {
	if s.items[key] != nil {
		delete(s.items, key)
		s.record(event{Key: key, Revision: s.rev, IsDeleted: true})
	}
}

// operatorPut writes a key as the operator does.
func (s *kvStore) operatorPut(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.put(key, value, 0)
}

func (s *kvStore) expire() {
	for range time.Tick(50 * time.Millisecond) {
		s.mu.Lock()
		for id, l := range s.leases {
			if time.Now().After(l.end) {
				s.dropLease(id)
			}
		}
		s.mu.Unlock()
	}
}

func (s *kvStore) dropLease(id uint64) {
	delete(s.leases, id)
	s.rev++
	for key, it := range s.items {
		if it.Lease == id {
			s.remove(key)
		}
	}
}

func (s *kvStore) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it := s.items[r.URL.Query().Get("key")]
	if it == nil {
		reply(w, http.StatusNotFound, map[string]any{"current_rev": s.rev})
		return
	}
	reply(w, http.StatusOK, map[string]any{"key": it.Key, "value": it.Value, "revision": it.Revision, "created_at": it.CreatedAt, "lease": it.Lease, "current_rev": s.rev})
}

func (s *kvStore) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := r.URL.Query()
	items := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, q.Get("path_prefix")) && key > q.Get("after") {
			items = append(items, *it)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	more := len(items) > 500
	if more {
		items = items[:500]
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "current_rev": s.rev})
}

func (s *kvStore) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	ms, err2 := strconv.Atoi(q.Get("wait_ms"))
	if err != nil || err2 != nil || ms > 30000 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timeout := time.After(time.Duration(ms) * time.Millisecond)
	for waiting := true; ; {
		s.mu.Lock()
		events := []event{}
		for _, e := range s.history {
			if e.Revision > after && strings.HasPrefix(e.Key, q.Get("path_prefix")) {
				events = append(events, e)
			}
		}
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(events) > 0 || !waiting {
			reply(w, http.StatusOK, map[string]any{"events": events, "current_rev": rev})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func (s *kvStore) txn(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Precondition []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"precondition"`
		Puts []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease uint64 `json:"lease"`
		} `json:"puts"`
		Deletes []string `json:"deletes"`
	}
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	failed, current := false, []item{}
	for _, p := range t.Precondition {
		it := s.items[p.Key]
		switch {
		case it == nil:
			failed = failed || p.Revision != 0
		default:
			current = append(current, *it)
			failed = failed || it.Revision != p.Revision
		}
	}
	if failed {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, p := range t.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			reply(w, http.StatusNotFound, map[string]any{})
			return
		}
	}
	s.rev++
	for _, p := range t.Puts {
		s.put(p.Key, p.Value, p.Lease)
	}
	for _, key := range t.Deletes {
		s.remove(key)
	}
	reply(w, http.StatusOK, map[string]any{"revision": s.rev})
}

func (s *kvStore) grant(w http.ResponseWriter, r *http.Request) {
	var in struct {
		TTL int64 `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	in.TTL = min(max(in.TTL, 1000), 600000)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next++
	ttl := time.Duration(in.TTL) * time.Millisecond
	s.leases[s.next] = &lease{ttl: ttl, end: time.Now().Add(ttl)}
	reply(w, http.StatusOK, map[string]any{"lease": s.next, "ttl_ms": in.TTL})
}

func (s *kvStore) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.end = time.Now().Add(l.ttl)
	reply(w, http.StatusOK, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
}

func (s *kvStore) endLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.dropLease(id)
	reply(w, http.StatusOK, map[string]any{})
}
