package front

import (
	"sync"
	"time"

	"sycamorespread.dev/poison"
)

// runs holds the requests at the backend server.
type runs struct {
	mu sync.Mutex
	m  map[*inRun]struct{}
}

// inRun is one request at the backend server.
type inRun struct {
	r     *request
	began time.Time
}

func newRuns() *runs {
	return &runs{m: map[*inRun]struct{}{}}
}

func (s *runs) begin(r *request, now time.Time) *inRun {
	s.mu.Lock()
	defer s.mu.Unlock()
	run := &inRun{r: r, began: now}
	s.m[run] = struct{}{}
	return run
}

func (s *runs) end(run *inRun) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.m, run)
}

// requests returns the fingerprints of all requests at the backend server.
func (s *runs) requests() []poison.Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]poison.Request, 0, len(s.m))
	for run := range s.m {
		list = append(list, poison.Request{Service: run.r.service, Method: run.r.route.Name, Print: run.r.print})
	}
	return list
}
