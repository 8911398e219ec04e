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
	// levelDecay is the time over which a level then opens.
	levelDecay = 300 * time.Millisecond
	// maxRecentLevels is the number of candidates, those heard last, whose levels tell that of the service.
	maxRecentLevels = 5
	// loadTTL is how long a reported load is used.
	loadTTL = time.Second
	// localThreshold is the share of a server in use up to which calls stay in the own zone whatever the others have:
	// bytes between zones are dear, and a server with free slots answers no later for being used.
	localThreshold = 0.7
	// spilloverThreshold is how much busier the own zone may be before calls leave it, in shares of a server.
	spilloverThreshold = 0.3
	// minBackoff and maxBackoff bound the time for which an unreachable candidate is left out.
	minBackoff = 250 * time.Millisecond
	maxBackoff = 2 * time.Second
	// maxZoneCandidates is the largest number of candidates used in one zone.
	maxZoneCandidates = 16
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
	// ByIDOnly tells that Direct may find the target but Pick must not choose it.
	ByIDOnly bool
}

// Request describes the call to route.
type Request struct {
	Service, Method string
	Key             action.Key
	// Exclude lists the IDs of targets that were tried already.
	Exclude []string
	// Sticky, when not zero, selects one target by hash for all daemons.
	Sticky uint64
	// IgnoreLevel takes no notice of levels.
	IgnoreLevel bool
	// Nested tells that work was done for the call upstream. No level sheds it,
	// and it goes to a server by load alone: with the levels, the servers of one
	// service would see different keys and drift apart.
	Nested bool
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
	Level    action.Level
	LevelAge time.Duration
}

func (e *ShedError) Error() string {
	return fmt.Sprintf("service %q has no capacity for this class; retry after %s", e.Service, e.RetryAfter)
}

type reportedLevel struct {
	level action.Level
	at    time.Time
}

type candidate struct {
	target Target
	// hash orders the candidates, differently at each daemon.
	hash       uint64
	inflight   int
	load       float64
	loadAt     time.Time
	levels     map[string]reportedLevel
	stats      map[string]*methodStats
	avoidUntil time.Time
	failures   int
	// unreachable tells that the target cannot be reached from here.
	unreachable bool
}

// Table holds the candidates of all services. It is safe for concurrent use.
type Table struct {
	// Self is the ID of this daemon's instance.
	Self string
	// Zone is the availability zone of this daemon.
	Zone string

	mu       sync.Mutex
	now      func() time.Time
	byID     map[string]*candidate
	services map[string][]*candidate
}

// New returns an empty table for the daemon self in zone.
func New(self, zone string, now func() time.Time) *Table {
	return &Table{Self: self, Zone: zone, now: now, byID: map[string]*candidate{}, services: map[string][]*candidate{}}
}

// Update replaces the candidates. What is known of those that stay is kept,
// unless they restarted.
func (t *Table) Update(targets []Target) {
	t.mu.Lock()
	defer t.mu.Unlock()
	byID := make(map[string]*candidate, len(targets))
	services := make(map[string][]*candidate)
	for _, target := range targets {
		c, ok := t.byID[target.ID]
		if !ok || c.target.Incarnation != target.Incarnation {
			unreachable := ok && c.unreachable
			c = &candidate{levels: map[string]reportedLevel{}, stats: map[string]*methodStats{}, unreachable: unreachable}
		}
		if c.hash == 0 {
			c.hash = xxhash.Sum64String(t.Self + "/" + target.ID)
		}
		c.target = target
		byID[target.ID] = c
		if target.ByIDOnly {
			continue
		}
		services[target.Service] = append(services[target.Service], c)
	}
	for name, list := range services {
		services[name] = t.subset(list)
	}
	t.byID = byID
	t.services = services
}

// subset keeps at most maxZoneCandidates candidates of each zone, chosen by hash so
// that each daemon has its own and keeps it.
func (t *Table) subset(list []*candidate) []*candidate {
	slices.SortFunc(list, func(a, b *candidate) int { return cmp.Compare(a.hash, b.hash) })
	kept := make([]*candidate, 0, len(list))
	perZone := map[string]int{}
	for _, c := range list {
		if perZone[c.target.Zone] >= maxZoneCandidates {
			continue
		}
		perZone[c.target.Zone]++
		kept = append(kept, c)
	}
	return kept
}

// Pick chooses a target. It returns a *NoServerError or a *ShedError when
// there is none.
func (t *Table) Pick(req Request) (*Attempt, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	up := t.reachable(req, now)
	if len(up) == 0 {
		return nil, &NoServerError{Service: req.Service}
	}
	if req.Sticky != 0 {
		return t.newAttempt(pickSticky(up, req.Sticky), req.Method), nil
	}
	open := up
	if !req.IgnoreLevel && !req.Nested {
		open = admittingCandidates(up, req, now)
	}
	if len(open) == 0 {
		level, age := shedLevel(up, req.Method, now)
		return nil, &ShedError{Service: req.Service, RetryAfter: retryAfter, Level: level, LevelAge: age}
	}
	return t.newAttempt(t.choose(open, req.Method, now), req.Method), nil
}

// SetUnreachable leaves a target out while it cannot be reached from here.
func (t *Table) SetUnreachable(id string, unreachable bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c, ok := t.byID[id]; ok {
		c.unreachable = unreachable
		c.avoidUntil = time.Time{}
	}
}

// Has reports whether there is a target with the ID.
func (t *Table) Has(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, ok := t.byID[id]
	return ok
}

// PickByID returns a try at the target with the given ID.
func (t *Table) PickByID(id, method string) (*Attempt, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c, ok := t.byID[id]
	if !ok {
		return nil, &NoServerError{Service: id}
	}
	return t.newAttempt(c, method), nil
}

// reachable returns the candidates that are not avoided; when all are, those
// not tried yet.
func (t *Table) reachable(req Request, now time.Time) []*candidate {
	var up, avoided []*candidate
	for _, c := range t.services[req.Service] {
		if c.unreachable || slices.Contains(req.Exclude, c.target.ID) {
			continue
		}
		if now.Before(c.avoidUntil) {
			avoided = append(avoided, c)
			continue
		}
		up = append(up, c)
	}
	if len(up) == 0 {
		return avoided
	}
	return up
}

// admittingCandidates returns the candidates that take the request, none when the level
// of the service sheds it. One whose own level was not heard of late is taken
// to have that of the service; one that never answered is open.
func admittingCandidates(list []*candidate, req Request, now time.Time) []*candidate {
	shared, known := serviceLevel(list, req.Method, now)
	if known && !shared.Admits(req.Key) {
		return nil
	}
	open := make([]*candidate, 0, len(list))
	for _, c := range list {
		level := c.level(req.Method, now)
		if reported, ok := c.levels[req.Method]; ok && known && now.Sub(reported.at) > levelHold {
			level = shared
		}
		if level.Admits(req.Key) {
			open = append(open, c)
		}
	}
	if len(open) == 0 && known {
		return []*candidate{leastStrict(list, req.Method, now)}
	}
	return open
}

// serviceLevel returns the level of a service for a method, if any was heard within
// levelHold: the middle one of those heard last. What binds is mostly deeper
// and common to all candidates, so that the highest level is mostly the oldest;
// with it, each hop of a chain would add the age of a level to the time after
// which a surge is noticed, and the load would swing.
func serviceLevel(list []*candidate, method string, now time.Time) (action.Level, bool) {
	var recent [maxRecentLevels]reportedLevel
	n := 0
	for _, c := range list {
		reported, ok := c.levels[method]
		if !ok || now.Sub(reported.at) > levelHold {
			continue
		}
		n = insertLatest(&recent, n, reported)
	}
	if n == 0 {
		return 0, false
	}
	levels := recent[:n]
	slices.SortFunc(levels, func(a, b reportedLevel) int { return cmp.Compare(a.level, b.level) })
	return levels[n/2].level, true
}

// insertLatest puts a note among the n latest ones, the latest first, and returns
// how many there are then.
func insertLatest(recent *[maxRecentLevels]reportedLevel, n int, reported reportedLevel) int {
	i := n
	for i > 0 && recent[i-1].at.Before(reported.at) {
		i--
	}
	if i == maxRecentLevels {
		return n
	}
	n = min(n+1, maxRecentLevels)
	copy(recent[i+1:n], recent[i:n-1])
	recent[i] = reported
	return n
}

// shedLevel returns the level by which the candidates shed a call, the common
// one or else the highest, and the age of the note that was heard last.
func shedLevel(list []*candidate, method string, now time.Time) (action.Level, time.Duration) {
	var highest action.Level
	age := levelHold + levelDecay
	for _, c := range list {
		if reported, ok := c.levels[method]; ok {
			highest = max(highest, reported.level)
			age = min(age, now.Sub(reported.at))
		}
	}
	if shared, known := serviceLevel(list, method, now); known {
		return shared, age
	}
	return highest, age
}

// leastStrict returns the candidate with the highest level.
func leastStrict(list []*candidate, method string, now time.Time) *candidate {
	best := list[0]
	for _, c := range list[1:] {
		if c.level(method, now) > best.level(method, now) {
			best = c
		}
	}
	return best
}

// pickSticky selects the candidate with the highest hash of fp and its ID.
func pickSticky(list []*candidate, fp uint64) *candidate {
	var best *candidate
	var maxHash uint64
	for _, c := range list {
		h := xxhash.Sum64String(fmt.Sprintf("%x/%s", fp, c.target.ID))
		if best == nil || h > maxHash {
			best, maxHash = c, h
		}
	}
	return best
}

// choose takes the better of two random candidates of the own zone, and a
// better one of the other zones when the own zone is busier by spilloverThreshold.
func (t *Table) choose(list []*candidate, method string, now time.Time) *candidate {
	baseline := newBaseline(list, method, now)
	var local, remote []*candidate
	for _, c := range list {
		if c.target.Zone == t.Zone {
			local = append(local, c)
		} else {
			remote = append(remote, c)
		}
	}
	localPick := baseline.pickTwo(local, now)
	remotePick := baseline.pickTwo(remote, now)
	if localPick == nil {
		return remotePick
	}
	if remotePick == nil || baseline.healthy(localPick, now) && localPick.utilization(now) < localThreshold {
		return localPick
	}
	if baseline.cost(remotePick, now)+spilloverThreshold < baseline.cost(localPick, now) {
		return remotePick
	}
	return localPick
}

// score estimates the share of the server that is in use.
func (c *candidate) score(now time.Time) float64 {
	ownLoad := c.ownLoad()
	if now.Sub(c.loadAt) > loadTTL {
		return ownLoad
	}
	return max(ownLoad, c.load) + ownLoad/2
}

// ownLoad returns the share of the server that calls of this daemon use.
func (c *candidate) ownLoad() float64 {
	return float64(c.inflight+1) / float64(max(1, c.target.Slots))
}

// utilization returns the share of the server that is known to be in use.
func (c *candidate) utilization(now time.Time) float64 {
	if now.Sub(c.loadAt) > loadTTL {
		return c.ownLoad()
	}
	return max(c.ownLoad(), c.load)
}

// level returns the level last heard for a method, opened by its age.
func (c *candidate) level(method string, now time.Time) action.Level {
	reported, ok := c.levels[method]
	if !ok {
		return action.AdmitAll
	}
	age := now.Sub(reported.at) - levelHold
	if age <= 0 {
		return reported.level
	}
	if age >= levelDecay {
		return action.AdmitAll
	}
	gap := float64(action.AdmitAll - reported.level)
	return reported.level + action.Level(gap*float64(age)/float64(levelDecay))
}

// Level returns the level of a whole service for a method, Open when none was
// heard of late.
func (t *Table) Level(service, method string) action.Level {
	t.mu.Lock()
	defer t.mu.Unlock()
	level, known := serviceLevel(t.services[service], method, t.now())
	if !known {
		return action.AdmitAll
	}
	return level
}
