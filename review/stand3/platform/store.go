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

// item is a stored key, in the form of the platform's pages.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	CreatedAt uint64 `json:"created_at,omitempty"`
	Lease     uint64 `json:"lease,omitempty"`
	IsDeleted bool   `json:"is_deleted,omitempty"`
}

// store is a stand-in for the platform's metadata store. It keeps its whole history.
type store struct {
	mu      sync.Mutex
	changed chan struct{}
	rev     uint64
	items   map[string]item
	history []item
	leases  map[uint64]time.Time
	ttl     map[uint64]time.Duration
	lease   uint64
}

func newStore(addr string) (*store, error) {
	s := &store{changed: make(chan struct{}), rev: 1, items: map[string]item{}, leases: map[uint64]time.Time{}, ttl: map[uint64]time.Duration{}, lease: 100}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.get)
	mux.HandleFunc("GET /kv-range", s.list)
	mux.HandleFunc("GET /kv-watch", s.watch)
	mux.HandleFunc("POST /kv-txn", s.txn)
	mux.HandleFunc("POST /kv-lease", s.grant)
	mux.HandleFunc("POST /kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.end)
	go func() { _ = http.Serve(l, mux) }()
	go func() {
		for range time.Tick(100 * time.Millisecond) {
			s.expire()
		}
	}()
	return s, nil
}

// set writes a key without a condition, as the operator does.
func (s *store) set(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(key, value, 0)
}

// write stores a value; s.mu is held.
func (s *store) write(key string, value []byte, lease uint64) {
	s.rev++
	created := s.rev
	if old, ok := s.items[key]; ok {
		created = old.CreatedAt
	}
	it := item{Key: key, Value: value, Revision: s.rev, CreatedAt: created, Lease: lease}
	s.items[key] = it
	s.record(it)
}

// remove deletes a key; s.mu is held.
func (s *store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.rev++
	delete(s.items, key)
	s.record(item{Key: key, Revision: s.rev, IsDeleted: true})
}

func (s *store) record(it item) {
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, at := range s.leases {
		if time.Now().After(at) {
			s.drop(id)
		}
	}
}

// drop ends a lease; s.mu is held.
func (s *store) drop(id uint64) {
	delete(s.leases, id)
	delete(s.ttl, id)
	for key, it := range s.items {
		if it.Lease == id {
			s.remove(key)
		}
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	it, ok := s.items[r.URL.Query().Get("key")]
	rev := s.rev
	s.mu.Unlock()
	if !ok {
		reply(w, http.StatusNotFound, map[string]any{"current_rev": rev})
		return
	}
	reply(w, http.StatusOK, struct {
		item
		CurrentRev uint64 `json:"current_rev"`
	}{it, rev})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	items := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, q.Get("path_prefix")) && key > q.Get("after") {
			items = append(items, it)
		}
	}
	rev := s.rev
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "current_rev": rev})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	ms, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.After(time.Duration(min(ms, 30_000)) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []item{}
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, q.Get("path_prefix")) {
				events = append(events, it)
			}
		}
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "current_rev": rev})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			reply(w, http.StatusOK, map[string]any{"events": events, "current_rev": rev})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Precondition []struct {
			Key      string
			Revision uint64
		}
		Puts []struct {
			Key   string
			Value []byte
			Lease uint64
		}
		Deletes []string
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		reply(w, http.StatusBadRequest, nil)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	held, now := true, []item{}
	for _, c := range in.Precondition {
		held = held && s.items[c.Key].Revision == c.Revision
		if it, ok := s.items[c.Key]; ok {
			now = append(now, it)
		}
	}
	if !held {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": now})
		return
	}
	for _, p := range in.Puts {
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			reply(w, http.StatusNotFound, nil)
			return
		}
	}
	for _, p := range in.Puts {
		s.write(p.Key, p.Value, p.Lease)
	}
	for _, key := range in.Deletes {
		s.remove(key)
	}
	reply(w, http.StatusOK, map[string]any{"revision": s.rev})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var in struct {
		TTL int64 `json:"ttl_ms"`
	}
	_ = json.NewDecoder(r.Body).Decode(&in)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lease++
	s.ttl[s.lease] = time.Duration(max(in.TTL, 1000)) * time.Millisecond
	s.leases[s.lease] = time.Now().Add(s.ttl[s.lease])
	reply(w, http.StatusOK, map[string]any{"lease": s.lease, "ttl_ms": s.ttl[s.lease].Milliseconds()})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.leases[id]; !ok {
		reply(w, http.StatusNotFound, nil)
		return
	}
	s.leases[id] = time.Now().Add(s.ttl[id])
	reply(w, http.StatusOK, map[string]any{"ttl_ms": s.ttl[id].Milliseconds()})
}

func (s *store) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop(id)
	reply(w, http.StatusOK, nil)
}
