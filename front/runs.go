package front

import (
	"sync"
	"time"

	"sycamorespread.dev/poison"
)

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

// find returns the run of the request with the ID.
func (s *runs) find(id string) (run, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found, ok := s.m[id]
	return found, ok
}

// suspects returns the requests that are running at the given start of the backend server.
func (s *runs) suspects(start uint64) []poison.Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []poison.Request
	for _, running := range s.m {
		if running.serverStart == start {
			list = append(list, running.request.suspect())
		}
	}
	return list
}
