// Package route chooses the backend server for an attempt.
//
// A Table holds the candidates of every service that this daemon calls, with
// what their replies told: load, admission levels, failures. Pick takes the
// less loaded of two random candidates, prefers the daemon's own availability
// zone until that one is clearly busier, and leaves out every candidate whose
// level would shed the call. The call is shed when the level of the service,
// the middle one of those heard last, is below its key. Levels that are not
// heard again decay within a second, so that shedding does not outlast its
// cause.
//
//	try, err := table.Pick(route.Request{Service: "plots", Method: "get", Key: key})
//	if err != nil {
//		// *NoServerError or *ShedError: nothing was sent
//	}
//	reply := send(try.Target)
//	try.Done(route.Report{Load: reply.Load, Level: level})
package route

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"sycamorespread.dev/action"
)

const (
	// levelHold is how long a level stands unchanged after it was heard.
	levelHold = 700 * time.Millisecond
	// levelFade is the time over which a level then opens.
	levelFade = 300 * time.Millisecond
	// commonOf is the number of candidates, those heard last, whose levels tell that of the service.
	commonOf = 5
	// loadKeep is how long a reported load is used.
	loadKeep = time.Second
	// calmFill is the share of a server in use up to which calls stay in the own zone whatever the others have:
	// bytes between zones are dear, and a server with free slots answers no later for being used.
	calmFill = 0.7
	// spillGap is how much busier the own zone may be before calls leave it, in shares of a server.
	spillGap = 0.3
	// avoidFirst and avoidMost bound the time for which an unreachable candidate is left out.
	avoidFirst = 250 * time.Millisecond
	avoidMost  = 2 * time.Second
	// zoneSubset is the largest number of candidates used in one zone.
	zoneSubset = 16
	// retryAfter is the pause that a shed caller is advised.
	retryAfter = 200 * time.Millisecond
)

// Target is a backend server that may take a call, by its daemon.
type Target struct {
	ID          string
	Incarnation uint64
	Addr        netip.AddrPort
	Service     string
	Zone        string
	// Slots is the number of calls that the backend server runs at once.
	Slots int
	// DirectOnly tells that Direct may find the target but Pick must not choose it.
	DirectOnly bool
}

// Request describes the call to route.
type Request struct {
	Service, Method string
	Key             action.Key
	// Avoid lists the IDs of targets that were tried already.
	Avoid []string
	// Sticky, when not zero, selects one target by hash for all daemons.
	Sticky uint64
	// IgnoreLevel takes no notice of levels.
	IgnoreLevel bool
	// Invested tells that work was done for the call upstream. No level sheds it,
	// and it goes to a server by load alone: with the levels, the servers of one
	// service would see different keys and drift apart.
	Invested bool
}

// NoServerError reports that no backend server of a service is known and up.
type NoServerError struct {
	Service string
}

func (e *NoServerError) Error() string {
	return fmt.Sprintf("no backend server of service %q is up", e.Service)
}

// ShedError reports that every candidate would shed the call.
type ShedError struct {
	Service    string
	RetryAfter time.Duration
	// Level is the one that decided, Age how long ago the last one was heard.
	Level action.Level
	Age   time.Duration
}

func (e *ShedError) Error() string {
	return fmt.Sprintf("service %q has no capacity for this class; retry after %s", e.Service, e.RetryAfter)
}

type note struct {
	level action.Level
	at    time.Time
}

type state struct {
	target Target
	// place orders the candidates, differently at each daemon.
	place    uint64
	inflight int
	load     float64
	loadAt   time.Time
	levels   map[string]note
	runs     map[string]*record
	avoid    time.Time
	failures int
	// silent tells that the target cannot be reached from here.
	silent bool
}

// Table holds the candidates of all services. It is safe for concurrent use.
type Table struct {
	// Self is the ID of this daemon's instance.
	Self string
	// Zone is the availability zone of this daemon.
	Zone string

	mu       sync.Mutex
	now      func() time.Time
	byID     map[string]*state
	services map[string][]*state
}

// New returns an empty table for the daemon self in zone.
func New(self, zone string, now func() time.Time) *Table {
	return &Table{Self: self, Zone: zone, now: now, byID: map[string]*state{}, services: map[string][]*state{}}
}

// Update replaces the candidates. What is known of those that stay is kept,
// unless they restarted.
func (t *Table) Update(targets []Target) {
	t.mu.Lock()
	defer t.mu.Unlock()
	byID := make(map[string]*state, len(targets))
	services := make(map[string][]*state)
	for _, target := range targets {
		s, ok := t.byID[target.ID]
		if !ok || s.target.Incarnation != target.Incarnation {
			silent := ok && s.silent
			s = &state{levels: map[string]note{}, runs: map[string]*record{}, silent: silent}
		}
		if s.place == 0 {
			s.place = xxhash.Sum64String(t.Self + "/" + target.ID)
		}
		s.target = target
		byID[target.ID] = s
		if target.DirectOnly {
			continue
		}
		services[target.Service] = append(services[target.Service], s)
	}
	for name, list := range services {
		services[name] = t.subset(list)
	}
	t.byID = byID
	t.services = services
}

// subset keeps at most zoneSubset candidates of each zone, chosen by hash so
// that each daemon has its own and keeps it.
func (t *Table) subset(list []*state) []*state {
	slices.SortFunc(list, func(a, b *state) int { return cmp.Compare(a.place, b.place) })
	kept := make([]*state, 0, len(list))
	perZone := map[string]int{}
	for _, s := range list {
		if perZone[s.target.Zone] >= zoneSubset {
			continue
		}
		perZone[s.target.Zone]++
		kept = append(kept, s)
	}
	return kept
}

// Pick chooses a target. It returns a *NoServerError or a *ShedError when
// there is none.
func (t *Table) Pick(req Request) (*Try, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	up := t.reachable(req, now)
	if len(up) == 0 {
		return nil, &NoServerError{Service: req.Service}
	}
	if req.Sticky != 0 {
		return t.try(sticky(up, req.Sticky), req.Method), nil
	}
	open := up
	if !req.IgnoreLevel && !req.Invested {
		open = admitting(up, req, now)
	}
	if len(open) == 0 {
		level, age := decisive(up, req.Method, now)
		return nil, &ShedError{Service: req.Service, RetryAfter: retryAfter, Level: level, Age: age}
	}
	return t.try(t.choose(open, req.Method, now), req.Method), nil
}

// SetSilent leaves a target out while it cannot be reached from here.
func (t *Table) SetSilent(id string, silent bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s, ok := t.byID[id]; ok {
		s.silent = silent
		s.avoid = time.Time{}
	}
}

// Known reports whether there is a target with the ID.
func (t *Table) Known(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, ok := t.byID[id]
	return ok
}

// Direct returns a try at the target with the given ID.
func (t *Table) Direct(id, method string) (*Try, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.byID[id]
	if !ok {
		return nil, &NoServerError{Service: id}
	}
	return t.try(s, method), nil
}

// reachable returns the candidates that are not avoided; when all are, those
// not tried yet.
func (t *Table) reachable(req Request, now time.Time) []*state {
	var up, rest []*state
	for _, s := range t.services[req.Service] {
		if s.silent || slices.Contains(req.Avoid, s.target.ID) {
			continue
		}
		if now.Before(s.avoid) {
			rest = append(rest, s)
			continue
		}
		up = append(up, s)
	}
	if len(up) == 0 {
		return rest
	}
	return up
}

// admitting returns the candidates that take the request, none when the level
// of the service sheds it. One whose own level was not heard of late is taken
// to have that of the service; one that never answered is open.
func admitting(list []*state, req Request, now time.Time) []*state {
	shared, known := commonLevel(list, req.Method, now)
	if known && !shared.Admits(req.Key) {
		return nil
	}
	open := make([]*state, 0, len(list))
	for _, s := range list {
		level := s.level(req.Method, now)
		if n, ok := s.levels[req.Method]; ok && known && now.Sub(n.at) > levelHold {
			level = shared
		}
		if level.Admits(req.Key) {
			open = append(open, s)
		}
	}
	if len(open) == 0 && known {
		return []*state{mildest(list, req.Method, now)}
	}
	return open
}

// commonLevel returns the level of a service for a method, if any was heard within
// levelHold: the middle one of those heard last. What binds is mostly deeper
// and common to all candidates, so that the highest level is mostly the oldest;
// with it, each hop of a chain would add the age of a level to the time after
// which a surge is noticed, and the load would swing.
func commonLevel(list []*state, method string, now time.Time) (action.Level, bool) {
	var last [commonOf]note
	n := 0
	for _, s := range list {
		l, ok := s.levels[method]
		if !ok || now.Sub(l.at) > levelHold {
			continue
		}
		n = keepLast(&last, n, l)
	}
	if n == 0 {
		return 0, false
	}
	heard := last[:n]
	slices.SortFunc(heard, func(a, b note) int { return cmp.Compare(a.level, b.level) })
	return heard[n/2].level, true
}

// keepLast puts a note among the n latest ones, the latest first, and returns
// how many there are then.
func keepLast(last *[commonOf]note, n int, l note) int {
	i := n
	for i > 0 && last[i-1].at.Before(l.at) {
		i--
	}
	if i == commonOf {
		return n
	}
	n = min(n+1, commonOf)
	copy(last[i+1:n], last[i:n-1])
	last[i] = l
	return n
}

// decisive returns the level by which the candidates shed a call, the common
// one or else the highest, and the age of the note that was heard last.
func decisive(list []*state, method string, now time.Time) (action.Level, time.Duration) {
	var best action.Level
	age := levelHold + levelFade
	for _, s := range list {
		if n, ok := s.levels[method]; ok {
			best = max(best, n.level)
			age = min(age, now.Sub(n.at))
		}
	}
	if shared, known := commonLevel(list, method, now); known {
		return shared, age
	}
	return best, age
}

// mildest returns the candidate with the highest level.
func mildest(list []*state, method string, now time.Time) *state {
	best := list[0]
	for _, s := range list[1:] {
		if s.level(method, now) > best.level(method, now) {
			best = s
		}
	}
	return best
}

// sticky selects the candidate with the highest hash of fp and its ID.
func sticky(list []*state, fp uint64) *state {
	var best *state
	var most uint64
	for _, s := range list {
		h := xxhash.Sum64String(fmt.Sprintf("%x/%s", fp, s.target.ID))
		if best == nil || h > most {
			best, most = s, h
		}
	}
	return best
}

// choose takes the better of two random candidates of the own zone, and a
// better one of the other zones when the own zone is busier by spillGap.
func (t *Table) choose(list []*state, method string, now time.Time) *state {
	norm := normOf(list, method, now)
	var own, other []*state
	for _, s := range list {
		if s.target.Zone == t.Zone {
			own = append(own, s)
		} else {
			other = append(other, s)
		}
	}
	near := norm.better(own, now)
	far := norm.better(other, now)
	if near == nil {
		return far
	}
	if far == nil || norm.sound(near, now) && near.fill(now) < calmFill {
		return near
	}
	if norm.cost(far, now)+spillGap < norm.cost(near, now) {
		return far
	}
	return near
}

// score estimates the share of the server that is in use.
func (s *state) score(now time.Time) float64 {
	own := s.own()
	if now.Sub(s.loadAt) > loadKeep {
		return own
	}
	return max(own, s.load) + own/2
}

// own returns the share of the server that calls of this daemon use.
func (s *state) own() float64 {
	return float64(s.inflight+1) / float64(max(1, s.target.Slots))
}

// fill returns the share of the server that is known to be in use.
func (s *state) fill(now time.Time) float64 {
	if now.Sub(s.loadAt) > loadKeep {
		return s.own()
	}
	return max(s.own(), s.load)
}

// level returns the level last heard for a method, opened by its age.
func (s *state) level(method string, now time.Time) action.Level {
	n, ok := s.levels[method]
	if !ok {
		return action.AdmitAll
	}
	age := now.Sub(n.at) - levelHold
	if age <= 0 {
		return n.level
	}
	if age >= levelFade {
		return action.AdmitAll
	}
	gap := float64(action.AdmitAll - n.level)
	return n.level + action.Level(gap*float64(age)/float64(levelFade))
}

// Level returns the level of a whole service for a method, Open when none was
// heard of late.
func (t *Table) Level(service, method string) action.Level {
	t.mu.Lock()
	defer t.mu.Unlock()
	level, known := commonLevel(t.services[service], method, t.now())
	if !known {
		return action.AdmitAll
	}
	return level
}
