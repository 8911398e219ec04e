package main

import (
	"fmt"
	"strings"
	"time"

	"sycamorespread.dev/load"
)

// serviceDef is one service of a deployment. An entry of methods is "NAME = RUNTIME DOWNSTREAM...",
// with the downstream calls as SERVICE.METHOD.
type serviceDef struct {
	name                  string
	servers, slots, conns int
	methods               []string
}

// topology describes a deployment at its current size and the load on it.
type topology struct {
	name, region string
	zones        int
	// shared reports whether all daemons serve a single backend server.
	shared   bool
	services []serviceDef
	policy   string
	kinds    []load.Kind
	// proveKinds are further kinds, which only prove sends.
	proveKinds []load.Kind
	// bottleneck is the bottleneck service, and bottleneckKinds the kinds that need it.
	bottleneck      string
	bottleneckKinds []string
	// bottleneckRunTime is the run time of one call at the bottleneck.
	bottleneckRunTime time.Duration
	// onceMethods lists the methods that must run at most once per action.
	onceMethods []string
	// vitalKind is the most important kind, which is shed last.
	vitalKind string
}

// zone returns the name of availability zone n, counted from 0.
func (t topology) zone(n int) string {
	return fmt.Sprintf("%s-%c", t.region, 'a'+n)
}

// capacity returns the calls per second that the bottleneck can run.
func (t topology) capacity() float64 {
	for _, s := range t.services {
		if s.name == t.bottleneck {
			return float64(s.servers*s.slots) / t.bottleneckRunTime.Seconds()
		}
	}
	return 0
}

// bottleneckRatio returns the ratio of actions that need the bottleneck, by weight.
func (t topology) bottleneckRatio() float64 {
	needing, all := 0.0, 0.0
	for _, k := range t.kinds {
		all += k.Weight
		for _, n := range t.bottleneckKinds {
			if n == k.Name {
				needing += k.Weight
			}
		}
	}
	return needing / all
}

const kolonihavePolicy = `[class dues]
rank = 0
[class boards]
rank = 1
[class statements]
rank = 2
[class history]
rank = 3

[method payments.pay]
class = dues
repeatable = no
allowance = 12
objective = 0.999
[method payments.charge]
class = dues
repeatable = no
allowance = 4
objective = 0.999
[method statements.settle]
class = statements
allowance = 12
objective = 0.99
[method statements.view]
class = statements
allowance = 16
objective = 0.99
[method waitlists.query]
class = boards
allowance = 8
objective = 0.995
[method waitlists.count]
class = boards
allowance = 8
objective = 0.99
[method plots.get]
class = statements
allowance = 12
objective = 0.99
[method plots.ping]
class = statements
allowance = 8
objective = 0.99
[method plots.history]
class = history
allowance = 8
objective = 0.95
`

// kolonihave returns the deployment of Kolonihave in dk-east.
func kolonihave() topology {
	const timeout = 2 * time.Second
	return topology{
		name:   "kolonihave",
		region: "dk-east",
		zones:  3,
		services: []serviceDef{
			{name: "statements", servers: 4, slots: 60, conns: 450, methods: []string{"view = 4ms plots.get", "settle = 2ms payments.charge"}},
			{name: "payments", servers: 3, slots: 80, conns: 600, methods: []string{"pay = 4ms plots.get", "charge = 5ms"}},
			{name: "plots", servers: 4, slots: 60, conns: 450, methods: []string{"get = 3ms waitlists.count", "history = 10ms", "ping = 0s"}},
			{name: "waitlists", servers: 3, slots: 20, conns: 200, methods: []string{"query = 60ms", "count = 60ms"}},
		},
		policy: kolonihavePolicy,
		kinds: []load.Kind{
			{Name: "dues", Service: "payments", Method: "pay", Weight: 1, NonIdempotent: true, Timeout: timeout},
			{Name: "boards", Service: "waitlists", Method: "query", Weight: 2, Timeout: timeout},
			{Name: "statements", Service: "statements", Method: "view", Weight: 5, Timeout: timeout},
			{Name: "history", Service: "plots", Method: "history", Weight: 2, Timeout: timeout},
		},
		proveKinds: []load.Kind{
			{Name: "keyed", Service: "payments", Method: "pay", Weight: 0.3, NonIdempotent: true, UseIdempotencyKey: true, Timeout: timeout},
			{Name: "settle", Service: "statements", Method: "settle", Weight: 0.3, Timeout: timeout},
			{Name: "history", Service: "plots", Method: "history", Weight: 1, Timeout: timeout},
		},
		bottleneck:        "waitlists",
		bottleneckKinds:   []string{"dues", "boards", "statements"},
		bottleneckRunTime: 60 * time.Millisecond,
		onceMethods:       []string{"payments.pay", "payments.charge"},
		vitalKind:         "dues",
	}
}

const ballonbuchPolicy = `[class filings]
rank = 0
[class soundings]
rank = 1
[class lookups]
rank = 2

[method filing.file]
class = filings
repeatable = no
allowance = 12
objective = 0.999
[method sounding.pull]
class = soundings
allowance = 12
objective = 0.99
[method archive.browse]
class = lookups
allowance = 12
objective = 0.95
[method sites.get]
class = soundings
allowance = 6
objective = 0.99
`

// ballonbuch returns the deployment of Ballonbuch in bayern.
func ballonbuch() topology {
	const timeout = 2 * time.Second
	return topology{
		name:   "ballonbuch",
		region: "bayern",
		zones:  4,
		services: []serviceDef{
			{name: "filing", servers: 4, slots: 190, conns: 1200, methods: []string{"file = 4ms sites.get"}},
			{name: "sounding", servers: 4, slots: 190, conns: 1200, methods: []string{"pull = 8ms sites.get"}},
			{name: "archive", servers: 4, slots: 190, conns: 1200, methods: []string{"browse = 8ms sites.get"}},
			{name: "sites", servers: 4, slots: 30, conns: 300, methods: []string{"get = 120ms"}},
		},
		policy: ballonbuchPolicy,
		kinds: []load.Kind{
			{Name: "filings", Service: "filing", Method: "file", Weight: 1, NonIdempotent: true, Timeout: timeout},
			{Name: "soundings", Service: "sounding", Method: "pull", Weight: 4, Timeout: timeout},
			{Name: "lookups", Service: "archive", Method: "browse", Weight: 5, Timeout: timeout},
		},
		proveKinds: []load.Kind{
			{Name: "keyed", Service: "filing", Method: "file", Weight: 0.3, NonIdempotent: true, UseIdempotencyKey: true, Timeout: timeout},
			{Name: "lookups", Service: "archive", Method: "browse", Weight: 1, Timeout: timeout},
		},
		bottleneck:        "sites",
		bottleneckKinds:   []string{"filings", "soundings", "lookups"},
		bottleneckRunTime: 120 * time.Millisecond,
		onceMethods:       []string{"filing.file"},
		vitalKind:         "filings",
	}
}

// topologyOf returns the deployment with the given name.
func topologyOf(name string) (topology, error) {
	for _, t := range []topology{kolonihave(), ballonbuch()} {
		if t.name == name {
			return t, nil
		}
	}
	return topology{}, fmt.Errorf("deployment %q is not one of %s", name, strings.Join([]string{"kolonihave", "ballonbuch"}, ", "))
}
