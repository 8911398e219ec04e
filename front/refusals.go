package front

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

// maxRefusals is the number of latest refusals that are remembered at least. In a surge a server
// refuses some hundred requests per second, and a request waits for some seconds at most.
const maxRefusals = 4096

// refusals holds the hashed IDs of the latest non-idempotent requests that the local backend server
// refused. A faulty server may write a refusal again where the next response on a connection is due,
// so such a request is sent once more on a new connection only. For an idempotent one a connection
// suffices that has not carried the refusal (httpc.Request.Key).
type refusals struct {
	mu sync.Mutex
	// latest is moved to earlier when it has maxRefusals IDs.
	latest, earlier map[uint64]struct{}
}

func newRefusals() *refusals {
	return &refusals{latest: map[uint64]struct{}{}}
}

func (s *refusals) add(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.latest) >= maxRefusals {
		s.latest, s.earlier = map[uint64]struct{}{}, s.latest
	}
	s.latest[xxhash.Sum64String(id)] = struct{}{}
}

func (s *refusals) contains(id string) bool {
	h := xxhash.Sum64String(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	_, latest := s.latest[h]
	_, earlier := s.earlier[h]
	return latest || earlier
}
