package front

import "sync"

// runs holds the requests that are running at the backend server, by ID.
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

// find returns the running request with the ID, nil if there is none.
func (s *runs) find(id string) *request {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.m[id]
}
