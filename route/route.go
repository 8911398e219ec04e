// Package route chooses the backend server for an attempt.
//
// A Table holds the candidates of every service that this daemon calls, with
// the load, admission levels and failures that their responses reported. Pick
// chooses the less loaded of two random candidates. It prefers the daemon's own
// availability zone until that zone is clearly busier, and skips every
// candidate whose level would shed the call. The call is shed if the level of
// the service, the median of the latest reported levels, is below its key. A
// level that is not reported again decays within a second, so that shedding
// does not outlast its cause. Candidates that are stopping take what exceeds the
// capacity of the others, as far as they have free slots.
//
//	attempt, err := table.Pick(route.Request{Service: "plots", Method: "get", Key: key})
//	if err != nil {
//		// *NoServerError or *ShedError: nothing was sent
//	}
//	resp := send(attempt.Target)
//	attempt.Done(route.Report{Load: resp.Load, Level: level})
package route

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"sycamorespread.dev/action"
)

const (
	// levelHold is how long a reported level stays unchanged.
	levelHold = 700 * time.Millisecond
	// levelDecay is the time after levelHold over which a level rises until it admits all calls.
	levelDecay = 300 * time.Millisecond
	// maxRecentLevels is the number of latest reported levels whose median is the level of the service.
	maxRecentLevels = 5
	// loadTTL is how long a reported load is used.
	loadTTL = time.Second
	// localThreshold is the utilization of a server below which calls stay in the local zone, however
	// idle other zones are: traffic between zones is expensive, and a server with free slots
	// responds no slower when it is in use.
	localThreshold = 0.7
	// spilloverThreshold is the excess cost of the local zone, in shares of a server, above which
	// calls go to other zones.
	spilloverThreshold = 0.3
	// minBackoff and maxBackoff bound the time for which an unreachable candidate is not picked.
	minBackoff = 250 * time.Millisecond
	maxBackoff = 2 * time.Second
	// maxZoneCandidates bounds the number of candidates used in one zone.
	maxZoneCandidates = 16
	// retryAfter is the delay after which a shed caller should retry.
	retryAfter = 200 * time.Millisecond
)

// Target is a backend server that can serve calls, reached through its daemon.
type Target struct {
	ID          string
	Incarnation uint64
	Addr        netip.AddrPort
	Service     string
	Zone        string
	// Slots is the number of calls that the backend server runs at once.
	Slots int
	// Stopping is set while the daemon of the target prepares to stop. The target still serves calls;
	// Pick chooses it for those that exceed the capacity of the other targets.
	Stopping bool
	// ByIDOnly excludes the target from Pick; PickByID still finds it.
	ByIDOnly bool
}

// Request describes the call to route.
type Request struct {
	Service, Method string
	Key             action.Key
	// Exclude lists the IDs of targets that must not be picked, usually those tried already.
	Exclude []string
	// Sticky, if not zero, is a fingerprint by whose hash all daemons select the same target.
	Sticky uint64
	// IgnoreLevel picks a target regardless of its level.
	IgnoreLevel bool
	// Nested reports that a backend server makes the call while it runs an admitted request. No
	// level sheds it, and its target is chosen by load alone: if levels applied, the servers of
	// one service would see different keys and their levels would drift apart.
	Nested bool
}

// NoServerError reports that no backend server of a service is known and available.
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
	// Level is the level that shed the call.
	Level action.Level
	// LevelAge is the time since a candidate last reported a level.
	LevelAge time.Duration
}

func (e *ShedError) Error() string {
	return fmt.Sprintf("service %q has no capacity for this class; retry after %s", e.Service, e.RetryAfter)
}

// candidate is a target with its calls in flight and what its responses reported.
type candidate struct {
	target Target
	// hash determines the subset of candidates in use, differently at each daemon.
	hash       uint64
	inflight   int
	load       float64
	loadAt     time.Time
	levels     map[string]reportedLevel
	stats      map[string]*methodStats
	avoidUntil time.Time
	failures   int
	// unreachable reports that this daemon cannot connect to the target.
	unreachable bool
}

// Table holds the candidates of all services. It is safe for concurrent use.
type Table struct {
	// Self is the ID of this daemon's instance.
	Self string
	// Zone is the availability zone of this daemon.
	Zone string
	// IntN returns a random number below n. Calls do not overlap.
	IntN func(n int) int

	mu       sync.Mutex
	now      func() time.Time
	byID     map[string]*candidate
	services map[string][]*candidate
}

// New returns an empty table for the daemon self in zone.
func New(self, zone string, now func() time.Time) *Table {
	return &Table{Self: self, Zone: zone, IntN: rand.IntN, now: now, byID: map[string]*candidate{}, services: map[string][]*candidate{}}
}

// Update replaces the candidates. The state of those that stay is kept, unless
// they restarted.
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
		if ok && c.target.ByIDOnly && !target.ByIDOnly {
			c.forget()
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

// subset returns at most maxZoneCandidates candidates of each zone, besides
// those that are stopping. They are chosen by hash, so that each daemon has its
// own stable subset.
func (t *Table) subset(list []*candidate) []*candidate {
	slices.SortFunc(list, func(a, b *candidate) int { return cmp.Compare(a.hash, b.hash) })
	kept := make([]*candidate, 0, len(list))
	perZone := map[string]int{}
	for _, c := range list {
		if !c.target.Stopping {
			if perZone[c.target.Zone] >= maxZoneCandidates {
				continue
			}
			perZone[c.target.Zone]++
		}
		kept = append(kept, c)
	}
	return kept
}

// Pick chooses a target and starts an attempt at it. It returns a
// *NoServerError or a *ShedError if there is none.
func (t *Table) Pick(req Request) (*Attempt, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	available, stopping := t.available(req, now)
	if len(available) == 0 {
		return nil, &NoServerError{Service: req.Service}
	}
	if req.Sticky != 0 {
		return t.newAttempt(pickSticky(available, req.Sticky), req.Method), nil
	}
	admitting := available
	if !req.IgnoreLevel && !req.Nested {
		admitting = admittingCandidates(available, req, now)
		stopping = withRoom(stopping, req, now)
	}
	if len(admitting) == 0 && len(stopping) == 0 {
		level, age := shedLevel(available, req.Method, now)
		return nil, &ShedError{Service: req.Service, RetryAfter: retryAfter, Level: level, LevelAge: age}
	}
	baseline := newBaseline(slices.Concat(admitting, stopping), req.Method, now)
	c := baseline.prefer(t.choose(baseline, admitting, now), t.choose(baseline, stopping, now), now)
	return t.newAttempt(c, req.Method), nil
}

// SetUnreachable sets whether this daemon cannot connect to a target. Pick does
// not choose an unreachable target. Any backoff of the target ends.
func (t *Table) SetUnreachable(id string, unreachable bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c, ok := t.byID[id]; ok {
		c.unreachable = unreachable
		c.avoidUntil = time.Time{}
		if !unreachable {
			c.forget()
		}
	}
}

// forget drops what calls told about the target before its backend server or the
// connection to it came back: failures and latencies of an outage that is over.
func (c *candidate) forget() {
	c.avoidUntil = time.Time{}
	c.failures = 0
	c.stats = map[string]*methodStats{}
}

// Has reports whether the table has a target with the given ID.
func (t *Table) Has(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, ok := t.byID[id]
	return ok
}

// PickByID starts an attempt at the target with the given ID.
func (t *Table) PickByID(id, method string) (*Attempt, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c, ok := t.byID[id]
	if !ok {
		return nil, &NoServerError{Service: id}
	}
	return t.newAttempt(c, method), nil
}

// available returns the candidates that are reachable, not excluded and not in
// backoff: those that are not stopping, and those that are. If all are stopping,
// they count as the former, and if there are none, those in backoff do.
func (t *Table) available(req Request, now time.Time) (available, stopping []*candidate) {
	var avoided []*candidate
	for _, c := range t.services[req.Service] {
		switch {
		case c.unreachable || slices.Contains(req.Exclude, c.target.ID):
		case now.Before(c.avoidUntil):
			avoided = append(avoided, c)
		case c.target.Stopping:
			stopping = append(stopping, c)
		default:
			available = append(available, c)
		}
	}
	switch {
	case len(available) > 0:
		return available, stopping
	case len(stopping) > 0:
		return stopping, nil
	}
	return avoided, nil
}

// withRoom returns the stopping candidates that admit the request and are not
// full. A level that a candidate has not reported for a while says nothing about
// it: it may have got no calls.
func withRoom(stopping []*candidate, req Request, now time.Time) []*candidate {
	var list []*candidate
	for _, c := range stopping {
		if c.level(req.Method, now).Admits(req.Key) && c.utilization(now) < 1 {
			list = append(list, c)
		}
	}
	return list
}

// pickSticky returns the candidate with the highest hash of fp and its ID
// (rendezvous hashing).
func pickSticky(list []*candidate, fp uint64) *candidate {
	var picked *candidate
	var maxHash uint64
	for _, c := range list {
		h := xxhash.Sum64String(fmt.Sprintf("%x/%s", fp, c.target.ID))
		if picked == nil || h > maxHash {
			picked, maxHash = c, h
		}
	}
	return picked
}

// choose returns the cheaper of two random candidates of the local zone, or of
// two of the other zones if the local one is more expensive by more than
// spilloverThreshold. It returns nil if list is empty.
func (t *Table) choose(baseline methodBaseline, list []*candidate, now time.Time) *candidate {
	var local, remote []*candidate
	for _, c := range list {
		if c.target.Zone == t.Zone {
			local = append(local, c)
		} else {
			remote = append(remote, c)
		}
	}
	return baseline.prefer(baseline.pickTwo(local, now, t.IntN), baseline.pickTwo(remote, now, t.IntN), now)
}

// prefer returns first, or second if first is clearly busier. Either may be nil.
func (m methodBaseline) prefer(first, second *candidate, now time.Time) *candidate {
	switch {
	case first == nil:
		return second
	case second == nil || m.healthy(first, now) && first.utilization(now) < localThreshold:
		return first
	case m.cost(second, now)+spilloverThreshold < m.cost(first, now):
		return second
	}
	return first
}

// score estimates the share of the server that is in use.
func (c *candidate) score(now time.Time) float64 {
	ownLoad := c.ownLoad()
	if now.Sub(c.loadAt) > loadTTL {
		return ownLoad
	}
	return max(ownLoad, c.load) + ownLoad/2
}

// ownLoad returns the share of the server that calls of this daemon would use
// with one more call.
func (c *candidate) ownLoad() float64 {
	return float64(c.inflight+1) / float64(max(1, c.target.Slots))
}

// utilization returns the share of the server that is known to be in use, by
// its last report or by the calls of this daemon.
func (c *candidate) utilization(now time.Time) float64 {
	if now.Sub(c.loadAt) > loadTTL {
		return c.ownLoad()
	}
	return max(c.ownLoad(), c.load)
}
