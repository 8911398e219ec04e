package front

import "sync"

// runs holds the requests at the backend server by ID.
type runs struct {
	mu sync.Mutex
	m  map[string]*request
}

func newRuns() *runs {
	return &runs{m: map[string]*request{}}
}

func (s *runs) add(r *request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.m[r.id] = r
}

func (s *runs) remove(r *request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.m[r.id] == r {
		delete(s.m, r.id)
	}
}

// find returns the request with the ID, nil when it is not at the backend
// server.
func (s *runs) find(id string) *request {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.m[id]
}
