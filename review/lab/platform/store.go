package main

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a value of the platform's store as it is on the wire.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	CreatedAt uint64 `json:"created_at,omitempty"`
	Lease     uint64 `json:"lease,omitempty"`
	IsDeleted bool   `json:"is_deleted,omitempty"`
}

// kvStore is a stand-in of the platform's key-value store.
type kvStore struct {
	mu       sync.Mutex
	changed  chan struct{}
	revision uint64
	items    map[string]item
	log      []item
	leases   map[uint64]time.Time
	ttls     map[uint64]time.Duration
}

func newStore() *kvStore {
	return &kvStore{revision: 100, changed: make(chan struct{}), items: map[string]item{}, leases: map[uint64]time.Time{}, ttls: map[uint64]time.Duration{}}
}

// serve serves the store on l until ctx ends.
func (s *kvStore) serve(ctx context.Context, l net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.get)
	mux.HandleFunc("GET /kv-range", s.list)
	mux.HandleFunc("GET /kv-watch", s.watch)
	mux.HandleFunc("POST /kv-txn", s.txn)
	mux.HandleFunc("POST /kv-lease", s.grant)
	mux.HandleFunc("POST /kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.end)
	srv := &http.Server{Handler: mux, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = srv.Serve(l) }()
	go func() {
		t := time.NewTicker(200 * time.Millisecond)
		defer t.Stop()
		for {
			select {
			case <-ctx.Done():
				_ = srv.Close()
				return
			case <-t.C:
				s.expire()
			}
		}
	}()
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// put writes a value without a condition, as the operator does.
func (s *kvStore) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.putLocked(key, value, 0)
}

func (s *kvStore) putLocked(key string, value []byte, lease uint64) {
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.CreatedAt
	}
	it := item{Key: key, Value: value, Revision: s.revision, CreatedAt: created, Lease: lease}
	s.items[key] = it
	s.append(it)
}

func (s *kvStore) deleteLocked(key string) {
	delete(s.items, key)
	s.append(item{Key: key, Revision: s.revision, IsDeleted: true})
}

func (s *kvStore) append(it item) {
	s.log = append(s.log, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *kvStore) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, until := range s.leases {
		if time.Now().After(until) {
			s.endLocked(id)
		}
	}
}

func (s *kvStore) endLocked(id uint64) {
	delete(s.leases, id)
	for key, it := range s.items {
		if it.Lease == id {
			s.revision++
			s.deleteLocked(key)
		}
	}
}

func (s *kvStore) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	it, ok := s.items[r.URL.Query().Get("key")]
	current := s.revision
	s.mu.Unlock()
	if !ok {
		reply(w, http.StatusNotFound, map[string]any{"current_rev": current})
		return
	}
	reply(w, http.StatusOK, struct {
		item
		CurrentRev uint64 `json:"current_rev"`
	}{it, current})
}

func (s *kvStore) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("path_prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	list := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			list = append(list, it)
		}
	}
	current := s.revision
	s.mu.Unlock()
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	reply(w, http.StatusOK, map[string]any{"items": list, "has_more": false, "current_rev": current})
}

func (s *kvStore) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		events := []item{}
		s.mu.Lock()
		for _, it := range s.log {
			if it.Revision > after && strings.HasPrefix(it.Key, q.Get("path_prefix")) {
				events = append(events, it)
			}
		}
		current, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "current_rev": current})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timeout:
			reply(w, http.StatusOK, map[string]any{"events": events, "current_rev": current})
			return
		}
	}
}

type txnBody struct {
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

func (s *kvStore) txn(w http.ResponseWriter, r *http.Request) {
	var in txnBody
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	failed := false
	now := []item{}
	for _, p := range in.Precondition {
		it, ok := s.items[p.Key]
		if ok {
			now = append(now, it)
		}
		failed = failed || it.Revision != p.Revision
	}
	if failed {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": now})
		return
	}
	for _, p := range in.Puts {
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			reply(w, http.StatusNotFound, map[string]any{})
			return
		}
	}
	s.revision++
	for _, p := range in.Puts {
		s.putLocked(p.Key, p.Value, p.Lease)
	}
	for _, key := range in.Deletes {
		s.deleteLocked(key)
	}
	reply(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *kvStore) grant(w http.ResponseWriter, r *http.Request) {
	var in struct {
		TTLMs int64 `json:"ttl_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil || in.TTLMs < 1000 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	id := uint64(70000 + len(s.ttls))
	s.ttls[id] = time.Duration(in.TTLMs) * time.Millisecond
	s.leases[id] = time.Now().Add(s.ttls[id])
	reply(w, http.StatusOK, map[string]any{"lease": id, "ttl_ms": in.TTLMs})
}

func (s *kvStore) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.leases[id]; !ok {
		reply(w, http.StatusNotFound, map[string]any{})
		return
	}
	s.leases[id] = time.Now().Add(s.ttls[id])
	reply(w, http.StatusOK, map[string]any{"ttl_ms": s.ttls[id].Milliseconds()})
}

func (s *kvStore) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLocked(id)
	reply(w, http.StatusOK, map[string]any{})
}
