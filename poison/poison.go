// Package poison detects requests that crash the backend server that runs them.
//
// A daemon outlives its backend server and knows which requests were in flight
// when the server crashed. Each of them becomes a suspect under its fingerprint,
// the hash of method and body. Two crashes quarantine a request. Daemons gossip
// suspects and quarantined requests. A suspect runs at one backend server of its
// service, one at a time, so that harmless requests are cleared without risk to
// many servers. Operators can list the entries and lift them.
//
//	registry.RecordCrash("plots-1@7", []poison.Request{{Service: "plots", Method: "get", Fingerprint: fp}})
//	if registry.State(fp) == poison.Quarantined {
//		// reject the request
//	}
package poison

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"sycamorespread.dev/sycapb"
)

const (
	// crashesToQuarantine is the number of crashes after which a request is quarantined.
	crashesToQuarantine = 2
	// maxEntries bounds the number of entries in a Registry.
	maxEntries = 1024
	// maxEntryBytes is the maximum size of an entry, so that each one fits into a packet.
	maxEntryBytes = 1024
	// maxLifts is the maximum number of lifts of an entry. Each one is an operator's call.
	maxLifts = 1 << 20
	// suspectTTL is how long a suspect is remembered after its last crash.
	suspectTTL = 10 * time.Minute
	// quarantineTTL is how long a quarantine lasts unless it is lifted.
	quarantineTTL = 24 * time.Hour
)

// Fingerprint identifies a request by its method and body.
type Fingerprint uint64

// FingerprintOf returns the fingerprint of a call with the given body digest.
func FingerprintOf(service, method string, digest uint64) Fingerprint {
	d := xxhash.New()
	_, _ = d.WriteString(service + "\x00" + method + "\x00")
	var b [8]byte
	for i := range b {
		b[i] = byte(digest >> (8 * i))
	}
	_, _ = d.Write(b[:])
	return Fingerprint(d.Sum64())
}

// State is the state of a request in a Registry.
type State int

const (
	// Clear is a request without an entry.
	Clear State = iota
	// Suspect is a request that was in flight at one crash.
	Suspect
	// Quarantined is a request that was in flight at two crashes and is refused.
	Quarantined
)

// String returns the name of the state.
func (s State) String() string {
	return [...]string{"clear", "suspect", "quarantined"}[s]
}

// Request is one request that was in flight at a crash.
type Request struct {
	Service, Method string
	Fingerprint     Fingerprint
}

// Registry holds the suspect and the quarantined requests. It is safe for concurrent use.
type Registry struct {
	mu       sync.Mutex
	now      func() time.Time
	entries  map[Fingerprint]*sycapb.PoisonEntry
	onChange func(*sycapb.PoisonEntry)
}

// New returns an empty Registry that calls onChange with each entry that changes.
func New(now func() time.Time, onChange func(*sycapb.PoisonEntry)) *Registry {
	return &Registry{now: now, entries: map[Fingerprint]*sycapb.PoisonEntry{}, onChange: onChange}
}

// RecordCrash records a crash with the requests that were in flight. The id identifies the crash
// among all daemons.
func (r *Registry) RecordCrash(id string, inflight []Request) {
	now := r.now()
	for _, req := range inflight {
		r.mergeValid(&sycapb.PoisonEntry{
			Fingerprint: uint64(req.Fingerprint),
			Service:     req.Service,
			Method:      req.Method,
			Crashes:     []string{id},
			Lifts:       r.liftCount(req.Fingerprint),
			SeenUnixMs:  now.UnixMilli(),
		})
	}
}

func (r *Registry) liftCount(fp Fingerprint) uint32 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e, ok := r.entries[fp]; ok {
		return e.Lifts
	}
	return 0
}

// EntryError reports an entry that no daemon can have written.
type EntryError struct {
	Fingerprint uint64
	Field       string
}

func (e *EntryError) Error() string {
	return fmt.Sprintf("poison entry %x: invalid %s", e.Fingerprint, e.Field)
}

// Merge merges an entry from another daemon. Crashes are merged as a set; a higher lift count
// discards the crashes of a lower one. The error is an *EntryError.
func (r *Registry) Merge(in *sycapb.PoisonEntry) error {
	switch {
	case in.Lifts > maxLifts:
		return &EntryError{Fingerprint: in.Fingerprint, Field: "lifts"}
	case proto.Size(in) > maxEntryBytes:
		return &EntryError{Fingerprint: in.Fingerprint, Field: "size"}
	}
	if now := r.now().UnixMilli(); in.SeenUnixMs > now {
		in = proto.Clone(in).(*sycapb.PoisonEntry)
		in.SeenUnixMs = now
	}
	r.mergeValid(in)
	return nil
}

func (r *Registry) mergeValid(in *sycapb.PoisonEntry) {
	if e, ok := r.merge(in); ok && r.onChange != nil {
		r.onChange(e)
	}
}

func (r *Registry) merge(in *sycapb.PoisonEntry) (*sycapb.PoisonEntry, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire()
	fp := Fingerprint(in.Fingerprint)
	e, ok := r.entries[fp]
	if !ok || in.Lifts > e.Lifts {
		if !ok && len(r.entries) >= maxEntries {
			return nil, false
		}
		r.entries[fp] = proto.Clone(in).(*sycapb.PoisonEntry)
		return proto.Clone(in).(*sycapb.PoisonEntry), true
	}
	if in.Lifts < e.Lifts {
		return nil, false
	}
	added := false
	for _, id := range in.Crashes {
		if len(e.Crashes) < crashesToQuarantine && !slices.Contains(e.Crashes, id) {
			e.Crashes = append(e.Crashes, id)
			added = true
		}
	}
	e.SeenUnixMs = max(e.SeenUnixMs, in.SeenUnixMs)
	return proto.Clone(e).(*sycapb.PoisonEntry), added
}

// expire removes entries past their TTL; r.mu is held.
func (r *Registry) expire() {
	now := r.now()
	for fp, e := range r.entries {
		ttl := suspectTTL
		if stateOf(e) == Quarantined {
			ttl = quarantineTTL
		}
		if now.Sub(time.UnixMilli(e.SeenUnixMs)) > ttl {
			delete(r.entries, fp)
		}
	}
}

func stateOf(e *sycapb.PoisonEntry) State {
	switch {
	case len(e.Crashes) >= crashesToQuarantine:
		return Quarantined
	case len(e.Crashes) > 0:
		return Suspect
	}
	return Clear
}

// State returns the state of a request.
func (r *Registry) State(fp Fingerprint) State {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.entries[fp]
	if !ok {
		return Clear
	}
	return stateOf(e)
}

// Lift clears an entry at all daemons and reports whether there was one.
func (r *Registry) Lift(fp Fingerprint) bool {
	r.mu.Lock()
	e, ok := r.entries[fp]
	r.mu.Unlock()
	if !ok {
		return false
	}
	lifted := proto.Clone(e).(*sycapb.PoisonEntry)
	lifted.Crashes = nil
	lifted.Lifts++
	lifted.SeenUnixMs = r.now().UnixMilli()
	r.mergeValid(lifted)
	return true
}

// Entries returns copies of all entries, sorted by fingerprint.
func (r *Registry) Entries() []*sycapb.PoisonEntry {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]*sycapb.PoisonEntry, 0, len(r.entries))
	for _, e := range r.entries {
		list = append(list, proto.Clone(e).(*sycapb.PoisonEntry))
	}
	slices.SortFunc(list, func(a, c *sycapb.PoisonEntry) int {
		if a.Fingerprint < c.Fingerprint {
			return -1
		}
		return 1
	})
	return list
}
