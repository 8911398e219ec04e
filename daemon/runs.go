package daemon

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"sycamorespread.dev/action"
	"sycamorespread.dev/allow"
	"sycamorespread.dev/poison"
	"sycamorespread.dev/route"
)

// run is one call in progress at the backend server.
type run struct {
	id  uint64
	ctx context.Context //nolint:containedctx // A run's deeper calls arrive on other requests.
	in  *inbound
	acc *allow.Account
	// calledDownstream tells that the run made a deeper call.
	calledDownstream atomic.Bool
	// starved tells that a deeper call was refused for want of allowance.
	starved atomic.Bool

	mu     sync.Mutex
	counts map[uint64]int
}

// nextPath returns the hash that names the next deeper call of a method with a
// body digest, the same whenever the run is repeated.
func (r *run) nextPath(service, method string, digest uint64) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	base := xxhash.Sum64String(fmt.Sprintf("%x/%s.%s/%x", r.in.call.Path, service, method, digest))
	n := r.counts[base]
	r.counts[base] = n + 1
	return xxhash.Sum64String(fmt.Sprintf("%x#%d", base, n))
}

// runs holds the calls in progress by run ID.
type runs struct {
	mu sync.Mutex
	m  map[uint64]*run
}

func newRuns() *runs {
	return &runs{m: map[uint64]*run{}}
}

func (s *runs) add(ctx context.Context, a *inbound, acc *allow.Account) *run {
	r := &run{id: rand.Uint64(), ctx: ctx, in: a, acc: acc, counts: map[uint64]int{}}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.m[r.id] = r
	return r
}

func (s *runs) remove(r *run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.m, r.id)
}

// len returns how many calls are in progress.
func (s *runs) len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.m)
}

func (s *runs) find(id uint64) (*run, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.m[id]
	return r, ok
}

// requests returns the fingerprints of all calls in progress.
func (s *runs) requests() []poison.Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]poison.Request, 0, len(s.m))
	for _, r := range s.m {
		list = append(list, poison.Request{Service: r.in.call.Service, Method: r.in.call.Method, Fingerprint: r.in.fingerprint})
	}
	return list
}

// dependencySet remembers which deeper methods each method of the backend server
// calls, so that their levels reach the callers of that method.
type dependencySet struct {
	mu sync.Mutex
	m  map[string]map[downstreamMethod]time.Time
}

type downstreamMethod struct {
	service, method string
}

// dependencyTTL is how long a deeper method counts after its last call.
const dependencyTTL = 2 * time.Second

func newDependencySet() *dependencySet {
	return &dependencySet{m: map[string]map[downstreamMethod]time.Time{}}
}

func (s *dependencySet) record(method string, to downstreamMethod) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.m[method] == nil {
		s.m[method] = map[downstreamMethod]time.Time{}
	}
	s.m[method][to] = time.Now()
}

// level returns the strictest level among the deeper methods of a method.
func (s *dependencySet) level(method string, t *route.Table) action.Level {
	s.mu.Lock()
	defer s.mu.Unlock()
	level := action.AdmitAll
	for to, at := range s.m[method] {
		if time.Since(at) > dependencyTTL {
			delete(s.m[method], to)
			continue
		}
		level = min(level, t.Level(to.service, to.method))
	}
	return level
}
