// Package front proxies HTTP requests between callers and backend servers.
//
// A Front runs beside each backend server. Its outbound side accepts requests
// of callers and downstream calls of the local backend server, matches the
// route, chooses an instance and sends the request to the Front of that
// instance. The inbound side of that Front is the only client of its backend
// server, so it enforces what must hold there: no new requests for a server
// that is leaving, the concurrency limit and the order in which queued requests
// run.
//
//	caller --HTTP--> outbound (Outbound) --HTTP--> inbound (Inbound) --HTTP--> backend server
//
// A response between Fronts states whether the request ran. A request that did
// not run may be sent to another instance. One that may have run is sent again
// only if its route is idempotent.
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

// ResponseMargin is the time before the end of a stop by which the deadline of each request must pass. The
// Fronts wait for a response until shortly after the deadline.
const ResponseMargin = 200 * time.Millisecond

// Headers names the header fields that callers and backend servers use.
type Headers struct {
	// RequestID identifies one attempt of a caller; backend servers echo it in the response.
	RequestID string
	// TimeLeft is how many milliseconds the sender will wait.
	TimeLeft string
	// Signature marks a response that a backend server generated.
	Signature string
	// ExpectedInstance is the ID of the only backend server that may run the request.
	ExpectedInstance string
	// Load holds the numbers of running requests, queued requests and slots.
	Load string
	// NotRun marks a response to a request that the backend server did not run.
	NotRun string
	// OriginService is the service of the instance that received the request from its caller.
	OriginService string
	// Instance is the ID of the backend server that responds.
	Instance string
	// Limit is the number of requests per second that the backend server takes at present from all
	// instances together.
	Limit string
	// Leaving marks the responses of a backend server that announced its shutdown.
	Leaving string
}

// Single returns the fields that occur at most once in a response of a backend server, in canonical form.
func (h Headers) Single() []string {
	return []string{h.RequestID, h.Signature, h.NotRun, h.Load, h.Instance, h.Limit, h.Leaving}
}

// Config configures a Front.
type Config struct {
	// Self is the ID of this instance, Incarnation the start time of this process.
	Self        string
	Incarnation uint64
	// Service is the service of this instance in the settings, used until the backend server reports one.
	Service string
	// ServerAddr is the address of the backend server.
	ServerAddr netip.AddrPort
	Headers    Headers
	// Policy returns the policy in force, nil if there is none.
	Policy func() *policy.Policy
	// Server returns the state of the backend server.
	Server func() life.Server
	// OnServerDown is called when the backend server with the ID refuses connections or was replaced
	// by another one.
	OnServerDown func(instance string)
	// OnServerLeaving is called when a response shows that the backend server with the ID and start
	// time announced its shutdown. The start time is zero if it is not known.
	OnServerLeaving func(instance string, startedAt time.Time)
	// Probe probes the instance with the ID and reports whether it answered.
	Probe func(ctx context.Context, id string) bool
	// Stopping reports whether the daemon is about to stop: connections are closed after the response.
	// Closing reports whether requests of callers are rejected. Downstream calls of running requests are
	// still forwarded.
	Stopping, Closing func() bool
	// StopEnd returns when the daemon ends at the latest, the zero time if it is not about to stop.
	StopEnd func() time.Time
	// RejectsInbound and RejectsNested report whether the daemon, because it is about to stop, rejects a
	// request of another Front, and a downstream call, with the deadline.
	RejectsInbound, RejectsNested func(deadline time.Time) bool
	// Table chooses instances.
	Table *route.Table
	// Gate admits requests to the backend server.
	Gate *admit.Gate
	// Budgets limits retries per service.
	Budgets *allow.Budgets
	// Quarantine tracks requests that crash backend servers.
	Quarantine *poison.Registry
	// PeerPool and ServerPool hold the connections to other Fronts and to the backend server.
	PeerPool, ServerPool *httpc.Pool
	// OnServed, if set, is called at the end of each request of a caller; inTime reports whether it
	// succeeded within the latency target of the route.
	OnServed func(r *policy.Route, service string, inTime bool)
	Stats    *stats.Set
	Log      *logrus.Entry
	// Guard recovers panics of probes; if nil, they end the process.
	Guard *guard.Guard
	// Now reads a monotonic clock.
	Now func() time.Time
}

// Front is the HTTP proxy of one instance. It is safe for concurrent use.
type Front struct {
	Config
	// inflight counts all requests in flight, callers those of callers.
	inflight     atomic.Int64
	callers      atomic.Int64
	splitter     *splitter
	dependencies *route.Dependencies
	runs         *runs
	monitor      *peerMonitor
	routeLatency *routeLatency
	levelCache   levelCache
	notice       ownNotice
	peerNotices  *peerNotices
	refusals     *refusals
	// isolated is held by the isolated request that runs at the backend server.
	isolated chan struct{}
	// acceptFailedAt is when a connection could not be accepted last, nil if none.
	acceptFailedAt atomic.Pointer[time.Time]
	// probes holds the probes of peers in flight.
	probes errgroup.Group
}

// New returns a Front.
func New(cfg Config) *Front {
	return &Front{Config: cfg, splitter: newSplitter(), dependencies: route.NewDependencies(), runs: newRuns(), monitor: newPeerMonitor(), routeLatency: newRouteLatency(), peerNotices: newPeerNotices(), refusals: newRefusals(), isolated: make(chan struct{}, 1)}
}

// Inflight returns the number of requests in flight.
func (f *Front) Inflight() int64 {
	return f.inflight.Load()
}

// InflightOfCallers returns the number of requests of callers in flight.
func (f *Front) InflightOfCallers() int64 {
	return f.callers.Load()
}

// Outbound returns the handler for requests of callers and downstream calls of the local backend
// server.
func (f *Front) Outbound() http.Handler {
	return http.HandlerFunc(f.serveOutbound)
}

// Inbound returns the handler for requests of other Fronts.
func (f *Front) Inbound() http.Handler {
	return http.HandlerFunc(f.serveInbound)
}

// trackInflight counts a request as in flight until the returned function is called.
func (f *Front) trackInflight() func() {
	f.inflight.Add(1)
	return func() { f.inflight.Add(-1) }
}

// trackCaller counts a request at the outbound side as in flight until the returned function is called.
func (f *Front) trackCaller(r *request) func() {
	done := f.trackInflight()
	if r.nested {
		return done
	}
	f.callers.Add(1)
	return func() {
		f.callers.Add(-1)
		done()
	}
}

// isStopped reports whether the daemon is too close to its end for a request at the outbound side.
func (f *Front) isStopped(r *request) bool {
	if r.nested {
		return f.RejectsNested(r.deadline)
	}
	return f.Closing()
}

// endBeforeStop brings the deadline of a request forward if the daemon ends before it. The backend server then
// ends the run in time for its response to be forwarded.
func (f *Front) endBeforeStop(r *request) {
	end := f.StopEnd()
	if end.IsZero() {
		return
	}
	if limit := end.Add(-ResponseMargin); limit.Before(r.deadline) {
		r.log.shortened += r.deadline.Sub(limit)
		r.deadline = limit
	}
}

// cancelReason returns why the context of a request was canceled.
func (f *Front) cancelReason() string {
	if end := f.StopEnd(); !end.IsZero() && !f.Now().Before(end) {
		return reasonStopped
	}
	return reasonCanceled
}

// origin returns the service of this instance.
func (f *Front) origin() string {
	if s := f.Server(); s.Service != "" {
		return s.Service
	}
	return f.Service
}
