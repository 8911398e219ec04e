package front

import (
	"strconv"
	"strings"
	"sync"

	"sycamorespread.dev/policy"
)

// splitter spreads the requests of each route over its services by weight, each
// part as evenly as whole requests allow.
type splitter struct {
	mu sync.Mutex
	m  map[string]*splitState
}

// splitState is the state of one route: what each part is owed.
type splitState struct {
	weights string
	current []int
}

func newSplitter() *splitter {
	return &splitter{m: map[string]*splitState{}}
}

// pick returns the service for the next request of a route.
func (p *splitter) pick(r *policy.Route) string {
	if len(r.WeightedServices) == 1 {
		return r.WeightedServices[0].Service
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.m[r.Name]
	if w := weightsKey(r); t == nil || t.weights != w {
		t = &splitState{weights: w, current: make([]int, len(r.WeightedServices))}
		p.m[r.Name] = t
	}
	best, sum := 0, 0
	for i, part := range r.WeightedServices {
		t.current[i] += part.Weight
		sum += part.Weight
		if t.current[i] > t.current[best] {
			best = i
		}
	}
	t.current[best] -= sum
	return r.WeightedServices[best].Service
}

func weightsKey(r *policy.Route) string {
	var b strings.Builder
	for _, p := range r.WeightedServices {
		b.WriteString(p.Service + "=" + strconv.Itoa(p.Weight) + " ")
	}
	return b.String()
}
