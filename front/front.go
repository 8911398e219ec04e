// Package front carries HTTP requests between callers and backend servers.
//
// A Front is the entry of the callers on its instance and of the backend
// server's own calls, and the ingress of that backend server. The entry finds
// the route of a request, chooses an instance and sends the request to the
// Front beside it; only that one reaches the backend server, so what must hold
// there is decided there: no new work for a server that leaves, the number of
// requests at once, the order in which they run.
//
//	caller --HTTP--> entry (Outbound) --HTTP--> ingress (Inbound) --HTTP--> backend server
//
// An answer between Fronts says whether the request ran. A request that did
// not run may be offered elsewhere; one that may have run is sent again only
// when its route allows it.
//
//	f := front.New(cfg)
//	http.Serve(outbound, f.Outbound())
//	http.Serve(inbound, f.Inbound())
package front

import (
	"context"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"sycamorespread.dev/admit"
	"sycamorespread.dev/allow"
	"sycamorespread.dev/guard"
	"sycamorespread.dev/httpc"
	"sycamorespread.dev/life"
	"sycamorespread.dev/poison"
	"sycamorespread.dev/policy"
	"sycamorespread.dev/route"
	"sycamorespread.dev/stats"
)

// Headers names the header fields that callers and backend servers use.
type Headers struct {
	// RequestID identifies one attempt of a caller; backend servers repeat it.
	RequestID string
	// TimeLeft is how many milliseconds the sender will wait.
	TimeLeft string
	// Signature marks an answer that a backend server made.
	Signature string
	// Expected names the backend server that may run the request.
	Expected string
	// Load is the number of running and waiting requests and of slots.
	Load string
	// NotRun marks an answer to a request that the backend server did not run.
	NotRun string
	// Origin is the service of the instance where the request entered.
	Origin string
	// Instance is the ID of the answering backend server.
	Instance string
}

// Config holds what a Front needs.
type Config struct {
	// Self is the ID of this instance.
	Self string
	// Service is the service of this instance as the settings have it.
	Service string
	// ServerAddr is the address of the backend server.
	ServerAddr netip.AddrPort
	// Headers names the header fields on the wire.
	Headers Headers
	// Policy returns the policy in force, nil when there is none.
	Policy func() *policy.Policy
	// Server returns what is known of the backend server.
	Server func() life.Server
	// OnServerDown is called when the server with the ID refuses connections or is another one.
	OnServerDown func(instance string)
	// Probe reports whether the instance with the ID answers a probe.
	Probe func(ctx context.Context, id string) bool
	// Stopping tells that this daemon is about to end; Closing that it passes nothing on any more
	// but the calls of runs in progress.
	Stopping, Closing func() bool
	// Table chooses instances.
	Table *route.Table
	// Gate admits requests to the backend server.
	Gate *admit.Gate
	// Budgets bounds the repeated sends.
	Budgets *allow.Budgets
	// Quarantine holds requests that crash backend servers.
	Quarantine *poison.Registry
	// PeerPool and Backend hold the connections to other Fronts and to the backend server.
	PeerPool, ServerPool *httpc.Pool
	// OnServed is called with each request of a caller that ended, and whether it was answered in time.
	OnServed func(r *policy.Route, service string, inTime bool)
	Stats    *stats.Set
	Log      *logrus.Entry
	// Guard keeps a panic over one probe from ending the process; nil for none.
	Guard *guard.Guard
	// Now reads a clock that never goes back.
	Now func() time.Time
}

// Front serves one instance. It is safe for concurrent use.
type Front struct {
	Config
	inflight     atomic.Int64
	splitter     *splitter
	dependencies *route.Dependencies
	runs         *runs
	monitor      *peerMonitor
	routeLatency *routeLatency
	levelCache   levelCache
	// probes holds the probes of silent peers.
	probes errgroup.Group
}

// New returns a Front.
func New(cfg Config) *Front {
	return &Front{Config: cfg, splitter: newSplitter(), dependencies: route.NewDependencies(), runs: newRuns(), monitor: newPeerMonitor(), routeLatency: newRouteLatency()}
}

// Inflight returns the number of requests that are being served.
func (f *Front) Inflight() int64 {
	return f.inflight.Load()
}

// Outbound serves callers and the backend server's own calls.
func (f *Front) Outbound() http.Handler {
	return http.HandlerFunc(f.serveOutbound)
}

// Inbound serves other Fronts.
func (f *Front) Inbound() http.Handler {
	return http.HandlerFunc(f.serveInbound)
}

// trackInflight counts a request until the returned function is called.
func (f *Front) trackInflight() func() {
	f.inflight.Add(1)
	return func() { f.inflight.Add(-1) }
}

// origin returns the service of this instance.
func (f *Front) origin() string {
	if s := f.Server(); s.Service != "" {
		return s.Service
	}
	return f.Service
}
