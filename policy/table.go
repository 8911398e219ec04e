package policy

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"sycamorespread.dev/action"
)

// Route holds the rules of the requests of one host whose path begins with a
// prefix.
type Route struct {
	// Name identifies the route in logs and metrics.
	Name string
	// Host and Prefix select the requests; the longest prefix of a host wins.
	Host, Prefix string
	// Rank is the importance, 0 is the most important.
	Rank uint32
	// Idempotent tells that a request may run more than once.
	Idempotent bool
	// MaxAttempts is the largest number of backend servers that may run one request.
	MaxAttempts int
	// Timeout is the longest time that a request is kept waiting.
	Timeout time.Duration
	// TargetLatency is the latency within which an answer has its full value.
	TargetLatency time.Duration
	// WeightedServices are the services that the requests are spread over, by weight.
	WeightedServices []WeightedService
}

// WeightedService is one service of a route with its share of the requests.
type WeightedService struct {
	Service string
	Weight  int
}

// Service is what the policy says of the backend servers of a service.
type Service struct {
	Name string
	// HealthPath is the path of the health check.
	HealthPath string
	// MaxConnections is the largest number of connections to one backend server.
	MaxConnections int
}

// Limits bounds what a client may send.
type Limits struct {
	// MaxHeaderBytes and Body are sizes in bytes.
	MaxHeaderBytes, MaxBodyBytes int64
	// HeaderTimeout is how long a client may take to send the header of a request.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection may stay idle between two requests.
	IdleTimeout time.Duration
}

// Table is the part of a policy that speaks of HTTP requests.
type Table struct {
	Routes   []Route
	Services []Service
	Limits   Limits

	hosts    map[string][]*Route
	services map[string]*Service
}

// NewTable checks and indexes a table. A fault is a *RouteError.
func NewTable(routes []Route, services []Service, limits Limits) (*Table, error) {
	t := &Table{Routes: routes, Services: services, Limits: limits, hosts: map[string][]*Route{}, services: map[string]*Service{}}
	for i := range services {
		t.services[services[i].Name] = &services[i]
	}
	for i := range routes {
		r := &routes[i]
		if err := t.validate(r); err != nil {
			return nil, err
		}
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for _, list := range t.hosts {
		slices.SortStableFunc(list, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return t, nil
}

// RouteError reports a fault in a route.
type RouteError struct {
	Route, Field string
	Problem      string
}

func (e *RouteError) Error() string {
	return fmt.Sprintf("route %q: %s %s", e.Route, e.Field, e.Problem)
}

func (t *Table) validate(r *Route) error {
	invalid := func(field, problem string) error {
		return &RouteError{Route: r.Name, Field: field, Problem: problem}
	}
	switch {
	case r.Host == "":
		return invalid("host", "is missing")
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return invalid("prefix", "must begin and end with a slash")
	case r.Rank > action.MaxRank:
		return invalid("rank", fmt.Sprintf("is above %d", action.MaxRank))
	case r.MaxAttempts < 1:
		return invalid("attempts", "must be at least 1")
	case r.Timeout <= 0:
		return invalid("timeout", "must be positive")
	case r.TargetLatency <= 0:
		return invalid("target", "must be positive")
	case len(r.WeightedServices) == 0:
		return invalid("parts", "names no service")
	}
	sum := 0
	for _, p := range r.WeightedServices {
		if t.services[p.Service] == nil {
			return invalid("parts", fmt.Sprintf("names the unknown service %q", p.Service))
		}
		if p.Weight < 0 {
			return invalid("parts", "has a negative weight")
		}
		sum += p.Weight
	}
	if sum == 0 {
		return invalid("parts", "has no weight above 0")
	}
	return nil
}

// Match returns the route of a request by host and path, nil when there is
// none. The host may carry a port.
func (t *Table) Match(host, path string) *Route {
	if name, _, ok := strings.Cut(host, ":"); ok {
		host = name
	}
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns what the policy says of a service, nil when it does not
// name it.
func (t *Table) Service(name string) *Service {
	return t.services[name]
}

// FromTable returns a policy that holds only a table, at a revision. Text is the
// source that other daemons can decode.
func FromTable(revision uint64, text string, t *Table) *Policy {
	return &Policy{Revision: revision, Text: text, Table: t, methods: map[string]Method{}, services: map[string]bool{}}
}
