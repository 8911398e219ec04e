package front

import (
	"slices"
	"sync"
	"time"

	"sycamorespread.dev/poison"
)

// maxDeparted is the maximum number of requests that are remembered after their callers have left.
const maxDeparted = 4096

// run is a request that is running at the backend server, as it was when it was sent there.
type run struct {
	request  *request
	deadline time.Time
	retry    bool
	// serverStart is the life.Server.Start to which the request was sent.
	serverStart uint64
}

// runs holds the requests that are running at the backend server, by ID.
type runs struct {
	mu sync.Mutex
	m  map[string]run
	// departed holds runs whose callers have left, the latest last. Their server may still be at work on them.
	departed []departedRun
}

// departedRun is a run whose caller has left.
type departedRun struct {
	request     poison.Request
	deadline    time.Time
	serverStart uint64
}

func newRuns() *runs {
	return &runs{m: map[string]run{}}
}

// add adds a request that is sent to the given start of the backend server.
func (s *runs) add(r *request, start uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.m[r.id] = run{request: r, deadline: r.deadline, retry: r.retry, serverStart: start}
}

func (s *runs) remove(r *request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.m[r.id].request == r {
		delete(s.m, r.id)
	}
}

// depart remembers a run until its deadline, after its caller has left.
func (s *runs) depart(r *request, start uint64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.departed = slices.DeleteFunc(s.departed, func(d departedRun) bool { return d.serverStart != start || !now.Before(d.deadline) })
	if len(s.departed) == maxDeparted {
		s.departed = s.departed[1:]
	}
	s.departed = append(s.departed, departedRun{request: r.suspect(), deadline: r.deadline, serverStart: start})
}

// find returns the run of the request with the ID.
func (s *runs) find(id string) (run, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found, ok := s.m[id]
	return found, ok
}

// suspects returns the requests that the given start of the backend server may be running.
func (s *runs) suspects(start uint64, now time.Time) []poison.Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []poison.Request
	for _, running := range s.m {
		if running.serverStart == start {
			list = append(list, running.request.suspect())
		}
	}
	for _, d := range s.departed {
		if d.serverStart == start && now.Before(d.deadline) {
			list = append(list, d.request)
		}
	}
	return list
}
