// Package poison detects requests that crash the backend server that runs them.
//
// A daemon outlives its backend server and knows which requests were in flight
// when the server crashed. Each of them becomes a suspect under its fingerprint,
// the hash of method and body. A second crash, of a run that began when the request was
// a suspect, quarantines it, unless other suspects were in flight: any of them may be the
// cause. They become isolated, which means that each backend server runs one of them at
// a time. So either the request completes and is cleared, or a further crash has
// one cause. The same holds for a request in flight at two crashes of which neither
// was known when it was sent: servers that crash at once have another cause more often
// than not. Daemons gossip all entries. Operators can list and lift them.
//
//	registry.RecordCrash("plots-1@7", []poison.Request{{Service: "plots", Method: "get", Fingerprint: fp}})
//	if registry.State(fp) == poison.Quarantined {
//		// reject the request
//	}
package poison

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"sycamorespread.dev/sycapb"
)

const (
	// crashesToQuarantine is the number of crashes after which a request is quarantined, if it was a suspect
	// already at one of them. Crashes at which there were other suspects do not count.
	crashesToQuarantine = 2
	// confirmMark ends the recorded ID of a crash of a run that began when its request was a suspect.
	confirmMark = "+"
	// sharedMark ends the recorded ID of a crash at which there were other suspects.
	sharedMark = "~"
	// maxEntries is the number of entries of a Registry beyond which the least important ones are dropped.
	maxEntries = 1024
	// maxVerdicts is the number of crashes whose verdict is kept. All requests that a crash cut record it within
	// moments.
	maxVerdicts = 64
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
	// Isolated is a request that was in flight at a crash with other suspects, or at two crashes without being
	// a suspect.
	Isolated
	// Quarantined is a request that was in flight at two crashes, a suspect at one of them, and is refused.
	Quarantined
)

// String returns the name of the state.
func (s State) String() string {
	return [...]string{"clear", "suspect", "isolated", "quarantined"}[s]
}

// Request is one request that was in flight at a crash.
type Request struct {
	Service, Method string
	Fingerprint     Fingerprint
	// Known is the state at the daemon that sent the request. This daemon may not have received it yet.
	Known State
	// Fresh is set if the request was not a suspect when its run began. What this daemon has learned since
	// does not count then.
	Fresh bool
}

// state returns the state in which the request ran. e is its entry, which may be nil.
func (req Request) state(e *sycapb.PoisonEntry) State {
	if req.Fresh {
		return req.Known
	}
	return max(req.Known, stateOf(e))
}

// Registry holds the suspect and the quarantined requests. It is safe for concurrent use.
type Registry struct {
	// crashMu makes RecordCrash atomic, since each request whose response was lost records the crash.
	crashMu sync.Mutex
	// verdicts holds whether there were several suspects of the latest crashes, the last one at the end.
	verdicts []verdict

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
// among all daemons. It returns the ID under which the crash was recorded for each request, to be used
// in AddCrash.
func (r *Registry) RecordCrash(id string, inflight []Request) []string {
	r.crashMu.Lock()
	defer r.crashMu.Unlock()
	shared := r.isShared(id, inflight)
	recorded := make([]string, len(inflight))
	for i, req := range inflight {
		recorded[i] = r.recordFor(id, req, shared)
	}
	return recorded
}

// verdict is whether there were several suspects of a crash.
type verdict struct {
	id     string
	shared bool
}

// isShared returns whether there were several suspects of a crash, by the requests in flight when it was
// first recorded: those that record it later may find fewer.
func (r *Registry) isShared(id string, inflight []Request) bool {
	for _, v := range r.verdicts {
		if v.id == id {
			return v.shared
		}
	}
	if len(r.verdicts) == maxVerdicts {
		r.verdicts = r.verdicts[1:]
	}
	v := verdict{id: id, shared: r.severalSuspects(id, inflight)}
	r.verdicts = append(r.verdicts, v)
	return v.shared
}

// severalSuspects reports whether any of several suspects may have caused a crash: more than one of
// the requests in flight has the highest state, or the crash is known already.
func (r *Registry) severalSuspects(id string, inflight []Request) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.entries {
		if crashOf(e, id) != "" {
			return true
		}
	}
	highest, suspects := Suspect, map[Fingerprint]bool{}
	for _, req := range inflight {
		switch state := req.state(r.entries[req.Fingerprint]); {
		case state > highest:
			highest, suspects = state, map[Fingerprint]bool{req.Fingerprint: true}
		case state == highest:
			suspects[req.Fingerprint] = true
		}
	}
	return len(suspects) > 1
}

// recordFor records a crash for one request and returns the recorded ID.
func (r *Registry) recordFor(id string, req Request, shared bool) string {
	r.mu.Lock()
	e := r.entries[req.Fingerprint]
	known, suspect := crashOf(e, id), req.state(e) != Clear
	r.mu.Unlock()
	switch {
	case known != "":
		return known
	case suspect && shared:
		id += sharedMark
	case suspect:
		id += confirmMark
	}
	r.AddCrash(id, req)
	return id
}

// AddCrash adds a crash to the entry of a request, under the ID for which another daemon recorded it.
func (r *Registry) AddCrash(id string, req Request) {
	r.mu.Lock()
	lifts := r.entries[req.Fingerprint].GetLifts()
	r.mu.Unlock()
	r.mergeValid(&sycapb.PoisonEntry{
		Fingerprint: uint64(req.Fingerprint),
		Service:     req.Service,
		Method:      req.Method,
		Crashes:     []string{id},
		Lifts:       lifts,
		SeenUnixMs:  r.now().UnixMilli(),
	})
}

// crashOf returns the ID under which an entry, which may be nil, has a crash; empty if it has not.
func crashOf(e *sycapb.PoisonEntry, id string) string {
	for _, crash := range e.GetCrashes() {
		if strings.TrimSuffix(strings.TrimSuffix(crash, sharedMark), confirmMark) == id {
			return crash
		}
	}
	return ""
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
	in, err := r.check(in)
	if err == nil {
		r.mergeValid(in)
	}
	return err
}

// check returns an entry from another daemon with a time of its last crash that is not in the future.
// The error is an *EntryError.
func (r *Registry) check(in *sycapb.PoisonEntry) (*sycapb.PoisonEntry, error) {
	switch {
	case in.GetLifts() > maxLifts, in.GetLifts() == maxLifts && len(in.Crashes) > 0:
		// An entry with crashes can be lifted once more.
		return nil, &EntryError{Fingerprint: in.Fingerprint, Field: "lifts"}
	case proto.Size(in) > maxEntryBytes:
		return nil, &EntryError{Fingerprint: in.Fingerprint, Field: "size"}
	}
	if now := r.now().UnixMilli(); in.GetSeenUnixMs() > now {
		in = proto.Clone(in).(*sycapb.PoisonEntry)
		in.SeenUnixMs = now
	}
	return in, nil
}

func (r *Registry) mergeValid(in *sycapb.PoisonEntry) {
	if e, ok := r.merge(in); ok && r.onChange != nil {
		r.onChange(e)
	}
}

// Learn merges entries from an exchange with another daemon, without a call of onChange for each: other
// daemons get them in exchanges, too. It returns the number of those that changed something and the
// invalid ones as *EntryError.
func (r *Registry) Learn(entries []*sycapb.PoisonEntry) (changed int, errs []error) {
	for _, in := range entries {
		in, err := r.check(in)
		if err != nil {
			errs = append(errs, err)
			continue
		}
		if _, ok := r.merge(in); ok {
			changed++
		}
	}
	return changed, errs
}

// Digest returns a hash of the entries that does not depend on their order, 0 if there are none.
func (r *Registry) Digest() uint64 {
	var sum uint64
	for _, e := range r.Entries() {
		sum ^= xxhash.Sum64String(fmt.Sprintf("%x %d %s", e.Fingerprint, e.Lifts, evidence(e)))
	}
	return sum
}

// evidence returns what of the crashes of an entry matters. Registries may keep different ones of those
// beyond crashesToQuarantine.
func evidence(e *sycapb.PoisonEntry) string {
	state, n := stateOf(e), countCrashes(e)
	if state == Quarantined || n.first >= crashesToQuarantine {
		return state.String()
	}
	crashes := slices.DeleteFunc(slices.Clone(e.Crashes), func(id string) bool { return strings.HasSuffix(id, sharedMark) })
	return fmt.Sprintf("%s %q", state, crashes)
}

func (r *Registry) merge(in *sycapb.PoisonEntry) (*sycapb.PoisonEntry, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire()
	if isExpired(in, r.now()) {
		return nil, false
	}
	fp := Fingerprint(in.Fingerprint)
	e, ok := r.entries[fp]
	if !ok || in.Lifts > e.Lifts {
		if !ok && len(r.entries) >= maxEntries && !r.makeRoom(in) {
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
		if !slices.Contains(e.Crashes, id) && needsCrash(e, id) && hasRoom(e, id) {
			e.Crashes = append(e.Crashes, id)
			added = true
		}
	}
	e.SeenUnixMs = max(e.SeenUnixMs, in.SeenUnixMs)
	return proto.Clone(e).(*sycapb.PoisonEntry), added
}

// makeRoom removes the entry that matters least and reports whether it matters less than in. The caller must
// hold r.mu.
func (r *Registry) makeRoom(in *sycapb.PoisonEntry) bool {
	least := in
	for _, e := range r.entries {
		if mattersLess(e, least) {
			least = e
		}
	}
	if least == in {
		return false
	}
	delete(r.entries, Fingerprint(least.Fingerprint))
	return true
}

// mattersLess reports whether a full Registry drops entry a before b. One crash of a busy server adds hundreds
// of suspects, of which all but one are harmless, and a request that crashes servers returns within seconds.
func mattersLess(a, b *sycapb.PoisonEntry) bool {
	return cmp.Or(
		cmp.Compare(max(stateOf(a), Suspect), max(stateOf(b), Suspect)),
		cmp.Compare(a.SeenUnixMs, b.SeenUnixMs),
		cmp.Compare(a.Fingerprint, b.Fingerprint),
	) < 0
}

// expire removes entries past their TTL; r.mu is held.
func (r *Registry) expire() {
	now := r.now()
	for fp, e := range r.entries {
		if isExpired(e, now) {
			delete(r.entries, fp)
		}
	}
}

func isExpired(e *sycapb.PoisonEntry, now time.Time) bool {
	ttl := suspectTTL
	if stateOf(e) == Quarantined {
		ttl = quarantineTTL
	}
	return now.Sub(time.UnixMilli(e.SeenUnixMs)) > ttl
}

// stateOf returns the state of a request with an entry, which may be nil.
func stateOf(e *sycapb.PoisonEntry) State {
	n := countCrashes(e)
	switch {
	case n.confirmed > 0 && n.first+n.confirmed >= crashesToQuarantine:
		return Quarantined
	case n.shared > 0 || n.first >= crashesToQuarantine:
		return Isolated
	case n.first+n.confirmed > 0:
		return Suspect
	}
	return Clear
}

// crashCounts are the numbers of crashes at which a request was no suspect yet, was the only one, and was
// one of several.
type crashCounts struct {
	first, confirmed, shared int
}

func countCrashes(e *sycapb.PoisonEntry) crashCounts {
	var n crashCounts
	for _, id := range e.GetCrashes() {
		*n.of(id)++
	}
	return n
}

// of returns the number to which a crash with the recorded ID counts.
func (n *crashCounts) of(id string) *int {
	switch {
	case strings.HasSuffix(id, sharedMark):
		return &n.shared
	case strings.HasSuffix(id, confirmMark):
		return &n.confirmed
	}
	return &n.first
}

// needsCrash reports whether a further crash can change the state of a request.
func needsCrash(e *sycapb.PoisonEntry, id string) bool {
	n := countCrashes(e)
	if strings.HasSuffix(id, sharedMark) {
		return n.shared == 0
	}
	return *n.of(id) < crashesToQuarantine
}

// hasRoom reports whether an entry with a further crash is within maxEntryBytes.
func hasRoom(e *sycapb.PoisonEntry, id string) bool {
	return proto.Size(e)+proto.Size(&sycapb.PoisonEntry{Crashes: []string{id}}) <= maxEntryBytes
}

// State returns the state of a request.
func (r *Registry) State(fp Fingerprint) State {
	r.mu.Lock()
	defer r.mu.Unlock()
	return stateOf(r.entries[fp])
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
	r.expire()
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
