package front

import (
	"sync"

	"sycamorespread.dev/poison"
)

// runs holds the requests that are running at the backend server, by ID.
type runs struct {
	mu sync.Mutex
	m  map[string]*request
}

func newRuns() *runs {
	return &runs{m: map[string]*request{}}
}

// add adds a request that is sent to the given start of the backend server.
func (s *runs) add(r *request, start uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.serverStart = start
	s.m[r.id] = r
}

func (s *runs) remove(r *request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.m[r.id] == r {
		delete(s.m, r.id)
	}
}

// find returns the running request with the ID, nil if there is none.
func (s *runs) find(id string) *request {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.m[id]
}

// suspects returns the requests that are running at the given start of the backend server.
func (s *runs) suspects(start uint64) []poison.Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []poison.Request
	for _, r := range s.m {
		if r.serverStart == start {
			list = append(list, r.suspect())
		}
	}
	return list
}
