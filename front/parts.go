package front

import (
	"strconv"
	"strings"
	"sync"

	"sycamorespread.dev/policy"
)

// parts spreads the requests of each route over its services by weight, each
// part as evenly as whole requests allow.
type parts struct {
	mu sync.Mutex
	m  map[string]*turn
}

// turn is the state of one route: what each part is owed.
type turn struct {
	weights string
	owed    []int
}

func newParts() *parts {
	return &parts{m: map[string]*turn{}}
}

// choose returns the service for the next request of a route.
func (p *parts) choose(r *policy.Route) string {
	if len(r.Parts) == 1 {
		return r.Parts[0].Service
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.m[r.Name]
	if w := weightsOf(r); t == nil || t.weights != w {
		t = &turn{weights: w, owed: make([]int, len(r.Parts))}
		p.m[r.Name] = t
	}
	best, sum := 0, 0
	for i, part := range r.Parts {
		t.owed[i] += part.Weight
		sum += part.Weight
		if t.owed[i] > t.owed[best] {
			best = i
		}
	}
	t.owed[best] -= sum
	return r.Parts[best].Service
}

func weightsOf(r *policy.Route) string {
	var b strings.Builder
	for _, p := range r.Parts {
		b.WriteString(p.Service + "=" + strconv.Itoa(p.Weight) + " ")
	}
	return b.String()
}
