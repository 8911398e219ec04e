package policy

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"sycamorespread.dev/action"
)

// Route is the policy of the HTTP requests for one host and path prefix.
type Route struct {
	// Name identifies the route in logs and metrics.
	Name string
	// Host and Prefix select the requests; the longest matching prefix of a host wins.
	Host, Prefix string
	// Rank is the priority; 0 is the most important.
	Rank uint32
	// Idempotent reports whether a request may run more than once.
	Idempotent bool
	// MaxAttempts is the maximum number of backend servers that may run one request.
	MaxAttempts int
	// Timeout is the longest time that a request may wait for its response.
	Timeout time.Duration
	// TargetLatency is the latency up to which a response has its full value.
	TargetLatency time.Duration
	// WeightedServices are the services among which the requests are split by weight.
	WeightedServices []WeightedService
}

// WeightedService is a service of a route and its weight in the traffic split.
type WeightedService struct {
	Service string
	Weight  int
}

// Service is the policy for the backend servers of one service.
type Service struct {
	Name string
	// HealthPath is the path of the health check.
	HealthPath string
	// MaxConnections is the maximum number of connections to one backend server.
	MaxConnections int
}

// Limits bounds the requests of a client.
type Limits struct {
	// MaxHeaderBytes and MaxBodyBytes are the maximum sizes of a request's header and body.
	MaxHeaderBytes, MaxBodyBytes int64
	// HeaderTimeout is the maximum time in which a client must send a request's header.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection may stay idle between two requests.
	IdleTimeout time.Duration
}

// Table is the route table for HTTP requests.
type Table struct {
	Routes   []Route
	Services []Service
	Limits   Limits

	routesByHost   map[string][]*Route
	servicesByName map[string]*Service
}

// NewTable validates and indexes a table. The error is a *RouteError.
func NewTable(routes []Route, services []Service, limits Limits) (*Table, error) {
	t := &Table{Routes: routes, Services: services, Limits: limits, routesByHost: map[string][]*Route{}, servicesByName: map[string]*Service{}}
	for i := range services {
		t.servicesByName[services[i].Name] = &services[i]
	}
	for i := range routes {
		r := &routes[i]
		if err := t.validate(r); err != nil {
			return nil, err
		}
		host := strings.ToLower(r.Host)
		t.routesByHost[host] = append(t.routesByHost[host], r)
	}
	for _, list := range t.routesByHost {
		slices.SortStableFunc(list, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return t, nil
}

// RouteError reports an invalid field of a route.
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
		if t.servicesByName[p.Service] == nil {
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

// Match returns the route for a host and path, or nil if there is none. The
// host may include a port.
func (t *Table) Match(host, path string) *Route {
	if name, _, ok := strings.Cut(host, ":"); ok {
		host = name
	}
	for _, r := range t.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns the policy of a service, or nil if the table does not define it.
func (t *Table) Service(name string) *Service {
	return t.servicesByName[name]
}

// FromTable returns a policy that consists of a route table only. Other daemons
// can decode text, its source.
func FromTable(revision uint64, text string, t *Table) *Policy {
	return &Policy{Revision: revision, Text: text, Table: t, methods: map[string]Method{}, services: map[string]bool{}}
}
