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

// run is one call in progress on the backend server.
type run struct {
	id  uint64
	ctx context.Context //nolint:containedctx // A run's downstream calls arrive in other requests.
	in  *inbound
	acc *allow.Account
	// calledDownstream is true after a downstream call of the run that may have run.
	calledDownstream atomic.Bool
	// starved is true after a downstream call that was refused because the allowance was exhausted.
	starved atomic.Bool

	mu     sync.Mutex
	counts map[uint64]int
}

// nextPath returns a hash that identifies the next downstream call to a method
// with a body digest. It is the same when the run is repeated.
func (r *run) nextPath(service, method string, digest uint64) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	base := xxhash.Sum64String(fmt.Sprintf("%x/%s.%s/%x", r.in.call.Path, service, method, digest))
	n := r.counts[base]
	r.counts[base] = n + 1
	return xxhash.Sum64String(fmt.Sprintf("%x#%d", base, n))
}

// runs is the set of calls in progress on the backend server.
type runs struct {
	mu   sync.Mutex
	byID map[uint64]*run
}

func newRuns() *runs {
	return &runs{byID: map[uint64]*run{}}
}

func (s *runs) add(ctx context.Context, a *inbound, acc *allow.Account) *run {
	r := &run{id: rand.Uint64(), ctx: ctx, in: a, acc: acc, counts: map[uint64]int{}}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byID[r.id] = r
	return r
}

func (s *runs) remove(r *run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.byID, r.id)
}

// len returns the number of calls in progress.
func (s *runs) len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.byID)
}

func (s *runs) get(id uint64) (*run, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.byID[id]
	return r, ok
}

// requests returns the requests of all calls in progress, with fingerprints.
func (s *runs) requests() []poison.Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]poison.Request, 0, len(s.byID))
	for _, r := range s.byID {
		list = append(list, r.suspect())
	}
	return list
}

func (r *run) suspect() poison.Request {
	return poison.Request{Service: r.in.call.Service, Method: r.in.call.Method, Fingerprint: r.in.fingerprint}
}

// dependencySet records which downstream methods each method of the backend
// server calls, so that their admission levels reach the callers of that method.
type dependencySet struct {
	mu        sync.Mutex
	lastCalls map[string]map[downstreamMethod]time.Time
}

type downstreamMethod struct {
	service, method string
}

// dependencyTTL is how long a downstream method counts after its last call.
const dependencyTTL = 2 * time.Second

func newDependencySet() *dependencySet {
	return &dependencySet{lastCalls: map[string]map[downstreamMethod]time.Time{}}
}

func (s *dependencySet) record(method string, callee downstreamMethod) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lastCalls[method] == nil {
		s.lastCalls[method] = map[downstreamMethod]time.Time{}
	}
	s.lastCalls[method][callee] = time.Now()
}

// level returns the strictest admission level among the downstream methods of a
// method.
func (s *dependencySet) level(method string, t *route.Table) action.Level {
	s.mu.Lock()
	defer s.mu.Unlock()
	level := action.AdmitAll
	for callee, lastCall := range s.lastCalls[method] {
		if time.Since(lastCall) > dependencyTTL {
			delete(s.lastCalls[method], callee)
			continue
		}
		level = min(level, t.Level(callee.service, callee.method))
	}
	return level
}
