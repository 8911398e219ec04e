package front

import (
	"strconv"
	"strings"
	"sync"

	"sycamorespread.dev/policy"
)

// splitter distributes the requests of each route over its services by smooth weighted round-robin.
type splitter struct {
	mu sync.Mutex
	m  map[string]*splitState
}

// splitState holds the current weight of each service of one route.
type splitState struct {
	weights string
	current []int
}

func newSplitter() *splitter {
	return &splitter{m: map[string]*splitState{}}
}

// pick returns the service for the next request of a route. A change of the weights resets the state.
func (p *splitter) pick(r *policy.Route) string {
	if len(r.WeightedServices) == 1 {
		return r.WeightedServices[0].Service
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	state := p.m[r.Name]
	if w := weightsKey(r); state == nil || state.weights != w {
		state = &splitState{weights: w, current: make([]int, len(r.WeightedServices))}
		p.m[r.Name] = state
	}
	selected, total := 0, 0
	for i, service := range r.WeightedServices {
		state.current[i] += service.Weight
		total += service.Weight
		if state.current[i] > state.current[selected] {
			selected = i
		}
	}
	state.current[selected] -= total
	return r.WeightedServices[selected].Service
}

// weightsKey returns a string that identifies the services and weights of a route.
func weightsKey(r *policy.Route) string {
	var b strings.Builder
	for _, p := range r.WeightedServices {
		b.WriteString(p.Service + "=" + strconv.Itoa(p.Weight) + " ")
	}
	return b.String()
}
