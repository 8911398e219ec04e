// Package poison finds requests that crash the backend server that runs them.
//
// A daemon outlives its backend server and knows what was in flight when it
// crashed. Each of those requests becomes a suspect by its fingerprint, the
// hash of method and body. Two crashes quarantine it. Suspects and
// quarantined requests travel with the gossip; a suspect runs at one backend
// server of its service, one at a time, so that innocent requests clear
// themselves without risk to many servers. Operators see the book and lift
// entries.
//
//	book.Crashed("plots-1@7", []poison.Request{{Service: "plots", Method: "get", Print: fp}})
//	if book.State(fp) == poison.Quarantined {
//		// refuse
//	}
package poison

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"sycamorespread.dev/sycapb"
)

const (
	// crashesToQuarantine is how many crashes quarantine a request.
	crashesToQuarantine = 2
	// maxEntries bounds the book.
	maxEntries = 1024
	// suspectTTL is how long a suspect is remembered.
	suspectTTL = 10 * time.Minute
	// quarantineTTL is how long a quarantine lasts unless it is lifted.
	quarantineTTL = 24 * time.Hour
)

// Fingerprint is the fingerprint of a request.
type Fingerprint uint64

// FingerprintOf returns the fingerprint of a call by its method and body digest.
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

// State is what the book holds of a request.
type State int

const (
	// Clear is a request that is not in the book.
	Clear State = iota
	// Suspect was in flight at one crash.
	Suspect
	// Quarantined was in flight at two crashes and is refused.
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

// Registry holds the suspects and the quarantined. It is safe for concurrent use.
type Registry struct {
	mu       sync.Mutex
	now      func() time.Time
	entries  map[Fingerprint]*sycapb.PoisonEntry
	onChange func(*sycapb.PoisonEntry)
}

// New returns an empty book that calls changed with each entry that changes.
func New(now func() time.Time, onChange func(*sycapb.PoisonEntry)) *Registry {
	return &Registry{now: now, entries: map[Fingerprint]*sycapb.PoisonEntry{}, onChange: onChange}
}

// RecordCrash records a crash, identified across the fleet by id, with the
// requests that were in flight.
func (b *Registry) RecordCrash(id string, inflight []Request) {
	now := b.now()
	for _, r := range inflight {
		b.Merge(&sycapb.PoisonEntry{
			Fingerprint: uint64(r.Fingerprint),
			Service:     r.Service,
			Method:      r.Method,
			Crashes:     []string{id},
			Lifts:       b.liftCount(r.Fingerprint),
			SeenUnixMs:  now.UnixMilli(),
		})
	}
}

func (b *Registry) liftCount(p Fingerprint) uint32 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if e, ok := b.entries[p]; ok {
		return e.Lifts
	}
	return 0
}

// Merge joins an entry from another daemon into the book. Crashes are a set;
// a higher lift count discards those of a lower one.
func (b *Registry) Merge(in *sycapb.PoisonEntry) {
	if e, ok := b.merge(in); ok && b.onChange != nil {
		b.onChange(e)
	}
}

func (b *Registry) merge(in *sycapb.PoisonEntry) (*sycapb.PoisonEntry, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expire()
	p := Fingerprint(in.Fingerprint)
	e, ok := b.entries[p]
	if !ok || in.Lifts > e.Lifts {
		if !ok && len(b.entries) >= maxEntries {
			return nil, false
		}
		b.entries[p] = proto.Clone(in).(*sycapb.PoisonEntry)
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

// expire drops entries whose time is over; b.mu is held.
func (b *Registry) expire() {
	now := b.now()
	for p, e := range b.entries {
		ttl := suspectTTL
		if stateOf(e) == Quarantined {
			ttl = quarantineTTL
		}
		if now.Sub(time.UnixMilli(e.SeenUnixMs)) > ttl {
			delete(b.entries, p)
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

// State returns what the book holds of a request.
func (b *Registry) State(p Fingerprint) State {
	b.mu.Lock()
	defer b.mu.Unlock()
	e, ok := b.entries[p]
	if !ok {
		return Clear
	}
	return stateOf(e)
}

// Lift clears an entry everywhere and reports whether there was one.
func (b *Registry) Lift(p Fingerprint) bool {
	b.mu.Lock()
	e, ok := b.entries[p]
	b.mu.Unlock()
	if !ok {
		return false
	}
	lifted := proto.Clone(e).(*sycapb.PoisonEntry)
	lifted.Crashes = nil
	lifted.Lifts++
	lifted.SeenUnixMs = b.now().UnixMilli()
	b.Merge(lifted)
	return true
}

// Entries returns copies of all entries.
func (b *Registry) Entries() []*sycapb.PoisonEntry {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := make([]*sycapb.PoisonEntry, 0, len(b.entries))
	for _, e := range b.entries {
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
