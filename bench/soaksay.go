package main

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"sycamorespread.dev/platform"
)

const (
	// soakLimit is the limit that a server names, in requests per second.
	soakLimit = 20
	// limitSpan is the span in which requests are counted, limitDelay the time after which a limit that
	// was first named binds.
	limitSpan  = 4 * time.Second
	limitDelay = 3 * time.Second
	// passDelay is the time after which an instance that passed a statement on is bound by it.
	passDelay = 500 * time.Millisecond
)

// statements is what a server says of itself in its responses, and which instances passed it on.
type statements struct {
	mu sync.Mutex
	// limit is in requests per second, 0 for none; namedAt is when it was first named.
	limit   float64
	namedAt time.Time
	// toldLimit and toldLeaving hold when the instances first passed on a response with the limit, and
	// with the header that says that the server leaves.
	toldLimit, toldLeaving map[*soakInstance]time.Time
	// arrivals are the times of the requests that count against the limit.
	arrivals []time.Time
}

// name starts to name a limit, or ends it if it is 0.
func (s *statements) name(limit float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit, s.namedAt, s.arrivals = limit, time.Now(), nil
	s.toldLimit = map[*soakInstance]time.Time{}
}

// restart forgets what the previous incarnation said. It goes on naming a limit.
func (s *statements) restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.namedAt, s.arrivals = time.Now(), nil
	s.toldLimit, s.toldLeaving = map[*soakInstance]time.Time{}, map[*soakInstance]time.Time{}
}

// origin returns the instance at which a request began. The ID of a downstream call has a suffix.
func (s *soak) origin(request string, callee *soakInstance) *soakInstance {
	if strings.Contains(request, ".") {
		// Callers of another server are not known by the ID.
		return nil
	}
	var i, k, n int
	if _, err := fmt.Sscanf(request, "c%d-%d-%d", &i, &k, &n); err != nil || s.instances[i] == callee {
		return nil
	}
	return s.instances[i]
}

// isBound reports whether an instance was told at a time, early enough, and was neither started nor
// paused since.
func (n *soakInstance) isBound(told time.Time, delay time.Duration) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !told.IsZero() && time.Since(told) > delay && n.disturbedAt.Before(told)
}

// disturbed records the end of a pause.
func (n *soakInstance) disturbed() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.disturbedAt = time.Now()
}

// checkStatements checks that a request complies with what the server said before.
func (a *soakServer) checkStatements(request string) {
	from := a.s.origin(request, a.instance)
	if from == nil {
		return
	}
	s := &a.statements
	s.mu.Lock()
	defer s.mu.Unlock()
	// A caller waits for soakRequestTimeout at most, so the request was sent that long ago at most.
	if from.isBound(s.toldLeaving[from], maxArrivalAfterLeave+soakRequestTimeout) {
		a.s.recordViolation("leaving", request, fmt.Sprintf("arrived at %s %s after it said in a response that it leaves", a.instance.id, time.Since(s.toldLeaving[from])))
	}
	now := time.Now()
	if s.limit == 0 || now.Sub(s.namedAt) < limitDelay || !from.isBound(s.toldLimit[from], passDelay) {
		return
	}
	s.arrivals = append(s.arrivals, now)
	for now.Sub(s.arrivals[0]) > limitSpan {
		s.arrivals = s.arrivals[1:]
	}
	if allowed := 1.5*s.limit*limitSpan.Seconds() + 5; float64(len(s.arrivals)) > allowed {
		a.s.recordViolation("limit", request, fmt.Sprintf("%d requests at %s in %s, %g allowed", len(s.arrivals), a.instance.id, limitSpan, allowed))
	}
}

// addStatements adds what the server says of itself to the header of a response.
func (a *soakServer) addStatements(h http.Header) {
	draining := a.isDraining()
	s := &a.statements
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.limit > 0 {
		h.Set(a.headers.Limit, strconv.FormatFloat(s.limit, 'g', -1, 64))
	}
	if draining {
		h.Set(a.headers.Leaving, "1")
	}
}

// recordPassed records that an instance passed on a response of a server.
func (s *soak) recordPassed(by *soakInstance, h http.Header) {
	names := platform.Headers()
	for _, n := range s.instances {
		if n.server.currentID() == h.Get(names.Instance) {
			n.server.statements.recordPassed(by, h.Get(names.Limit) != "", h.Get(names.Leaving) != "")
		}
	}
}

func (s *statements) recordPassed(by *soakInstance, limit, leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if limit && s.limit > 0 && s.toldLimit[by].IsZero() {
		s.toldLimit[by] = time.Now()
	}
	if leaving && s.toldLeaving[by].IsZero() {
		s.toldLeaving[by] = time.Now()
	}
}

func (a *soakServer) currentID() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.id
}
