package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"sycamorespread.dev/front"
	"sycamorespread.dev/life"
	"sycamorespread.dev/platform"
)

const (
	// soakSlots is the maximum number of concurrent requests of a backend server.
	soakSlots = 16
	// soakReportInterval is the interval of a backend server's reports to its daemon.
	soakReportInterval = 400 * time.Millisecond
	// refuseRatio is the share of its requests that a refusing server refuses.
	refuseRatio = 0.55
	// failRatio is the share of the requests that a failing server runs and answers with a failure.
	failRatio = 0.1
	// maxArrivalAfterLeave is how long requests may still arrive after the daemon has acknowledged
	// that the server leaves.
	maxArrivalAfterLeave = 2 * time.Second
)

// refusalStatuses are the statuses of a server's refusals.
var refusalStatuses = []int{http.StatusServiceUnavailable, http.StatusTooManyRequests}

// invalidStatuses are the statuses of a server's responses that are none.
var invalidStatuses = []string{"000", "001", "099", "+20", "0", "20", "2x0", "1000", "600", "999"}

// soakServer is the backend server of one instance. It runs in the process of the soak.
type soakServer struct {
	s          *soak
	instance   *soakInstance
	headers    front.Headers
	extraDelay atomic.Int64
	corrupting atomic.Bool
	// refusing is set while the server refuses refuseRatio of its requests, failing while failRatio of
	// them fail; copying and splitting are those of its listener.
	refusing, failing, copying, splitting atomic.Bool
	// early is set while the server answers some uploads before it has read them, halving while it breaks
	// off some responses to them.
	early, halving atomic.Bool
	running        atomic.Int64
	http           *http.Client
	statements     statements

	// lifecycleMu is held while a fault stops and restarts the server.
	lifecycleMu  sync.Mutex
	mu           sync.Mutex
	server       *http.Server
	id           string
	startedAt    time.Time
	sequence     int64
	draining     bool
	leaveAckedAt time.Time
	starts       int
}

// start listens and serves as a new incarnation with a new instance ID.
func (a *soakServer) start() error {
	l, err := net.Listen("tcp", a.instance.serverAddr.String())
	if err != nil {
		return errors.Wrap(err, "listen as backend server")
	}
	a.mu.Lock()
	a.starts++
	a.id = fmt.Sprintf("i-%s-%d", a.instance.id, a.starts)
	a.startedAt = time.Now()
	a.sequence, a.draining, a.leaveAckedAt = 0, false, time.Time{}
	a.statements.restart()
	id := a.id
	handler := func(w http.ResponseWriter, r *http.Request) { a.handle(w, r, id) }
	srv := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(handler), ConnState: followState}
	a.server = srv
	a.mu.Unlock()
	a.s.g.Go(func() error {
		// Serve returns an error when the soak closes the server.
		_ = srv.Serve(&unsoundListener{Listener: l, copying: &a.copying, splitting: &a.splitting})
		return nil
	})
	return nil
}

// crash closes the listener and all connections.
func (a *soakServer) crash() {
	a.mu.Lock()
	defer a.mu.Unlock()
	// Close cuts the open connections, as a crash does; its error has no meaning here.
	_ = a.server.Close()
}

func (a *soakServer) report() life.Report {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sequence++
	return life.Report{
		Instance: a.id, StartedAt: a.startedAt, Sequence: a.sequence, Addr: a.instance.serverProxyAddr, Service: a.instance.service,
		Software: "v1", Zone: a.instance.zone, Slots: soakSlots, Draining: a.draining,
	}
}

// reportLoop sends reports to the daemon until ctx ends, and records when the daemon acknowledged
// that the server leaves.
func (a *soakServer) reportLoop(ctx context.Context) error {
	for sleepFor(ctx, soakReportInterval) {
		r := a.report()
		call, cancel := context.WithTimeout(ctx, time.Second)
		status, err := platform.SendHeartbeat(call, a.http, a.instance.controlAddr, r)
		cancel()
		if err == nil && status == http.StatusOK && r.Draining {
			a.mu.Lock()
			if a.id == r.Instance && a.leaveAckedAt.IsZero() {
				a.leaveAckedAt = time.Now()
			}
			a.mu.Unlock()
		}
	}
	return nil
}

// drain reports that the server leaves, serves for a while longer and then restarts as a new
// incarnation.
func (a *soakServer) drain(ctx context.Context) {
	a.lifecycleMu.Lock()
	defer a.lifecycleMu.Unlock()
	a.mu.Lock()
	a.draining = true
	a.mu.Unlock()
	sleepFor(ctx, maxArrivalAfterLeave+2*time.Second)
	a.crash()
	sleepFor(ctx, 200*time.Millisecond)
	a.restart(ctx)
}

// restart starts the next incarnation, unless the soak has ended.
func (a *soakServer) restart(ctx context.Context) {
	if ctx.Err() != nil {
		return
	}
	if err := a.start(); err != nil {
		a.s.recordViolation("start", a.instance.id, err.Error())
	}
}

// handle serves health checks and runs requests, as the incarnation id.
func (a *soakServer) handle(w http.ResponseWriter, r *http.Request, id string) {
	h := w.Header()
	h.Set(a.headers.Instance, id)
	h.Set(a.headers.Load, fmt.Sprintf("%d,0,%d", a.running.Load(), soakSlots))
	if r.URL.Path == "/health" {
		if a.isDraining() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	request := r.Header.Get(a.headers.RequestID)
	h.Set(a.headers.RequestID, request)
	switch {
	case r.Header.Get(a.headers.ExpectedInstance) != id:
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case a.running.Add(1) > soakSlots, a.refusing.Load() && rand.Float64() < refuseRatio:
		a.running.Add(-1)
		h.Set(a.headers.NotRun, "1")
		w.WriteHeader(refusalStatuses[rand.IntN(len(refusalStatuses))])
		return
	}
	defer a.running.Add(-1)
	if r.URL.Path == longPath {
		a.checkArrival(r, request)
		a.serveLong(w, r, request)
		return
	}
	a.runRequest(w, r, request)
}

// runRequest runs a request and its downstream calls.
func (a *soakServer) runRequest(w http.ResponseWriter, r *http.Request, request string) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	a.checkArrival(r, request)
	h := w.Header()
	a.checkStatements(request)
	a.addStatements(h)
	a.s.recordRun(request, strings.Contains(r.URL.Path, oncePath))
	sleepFor(r.Context(), 5*time.Millisecond+time.Duration(a.extraDelay.Load()))
	status := a.callLower(r.Context(), request, r.URL.Path)
	h.Set(a.headers.Signature, "sig-"+request)
	if a.corrupting.Load() && rand.IntN(10) == 0 {
		a.writeCorrupted(w, request)
		return
	}
	if a.failing.Load() && rand.Float64() < failRatio {
		status = http.StatusInternalServerError
	}
	a.s.recordAnswer(request, status)
	w.WriteHeader(status)
	if status == http.StatusOK {
		_, _ = io.WriteString(w, responseBody(request, body))
	} else {
		_, _ = io.WriteString(w, failureBody(request))
	}
}

// responseBody returns the complete response body for a request.
func responseBody(request string, body []byte) string {
	return "answer to " + request + " " + string(body)
}

// failureBody returns the complete response body for a request that ran and failed.
func failureBody(request string) string {
	return "failure of " + request
}

// writeCorrupted writes a truncated response, the response of another request or one with an invalid status.
func (a *soakServer) writeCorrupted(w http.ResponseWriter, request string) {
	switch rand.IntN(3) {
	case 0:
		w.Header().Set(a.headers.RequestID, "stranger")
		_, _ = io.WriteString(w, responseBody("stranger", nil))
		return
	case 1:
		a.writeInvalidStatus(w, request)
		return
	}
	w.Header().Set("Content-Length", "1000")
	_, _ = io.WriteString(w, responseBody(request, nil))
	panic(http.ErrAbortHandler)
}

// writeInvalidStatus writes a response with a status that HTTP does not have, whose body has the form of a response
// to the same request.
func (a *soakServer) writeInvalidStatus(w http.ResponseWriter, request string) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		a.s.recordViolation("hijack", request, err.Error())
		return
	}
	fields := fmt.Sprintf("%s: %s\r\n%s: sig-%s\r\n", a.headers.RequestID, request, a.headers.Signature, request)
	forged := fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: 6\r\n\r\nforged", fields)
	length := ""
	if rand.IntN(2) == 0 {
		length = fmt.Sprintf("Content-Length: %d\r\n", len(forged))
	}
	// These fail only if the daemon has closed the connection.
	_, _ = fmt.Fprintf(c, "HTTP/1.1 %s X\r\n%s%s\r\n%s", invalidStatuses[rand.IntN(len(invalidStatuses))], fields, length, forged)
	_ = c.Close()
}

func (a *soakServer) isDraining() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.draining
}

// checkArrival checks that a request does not arrive late after a leave and that its headers are set.
func (a *soakServer) checkArrival(r *http.Request, request string) {
	a.mu.Lock()
	acked := a.leaveAckedAt
	a.mu.Unlock()
	if late := time.Since(acked); !acked.IsZero() && late > maxArrivalAfterLeave {
		a.s.recordViolation("leaving", request, fmt.Sprintf("arrived at %s %s after its leave was acknowledged", a.instance.id, late))
	}
	if r.Header.Get(a.headers.OriginService) == "" || r.Header.Get(a.headers.TimeLeft) == "" {
		a.s.recordViolation("header", request, "has no origin or no time left")
	}
}

// callLower makes the downstream calls of a request, and returns the response status.
func (a *soakServer) callLower(ctx context.Context, request, path string) int {
	var calls []string
	switch {
	case a.instance.service == soakUpper && a.s.deep:
		calls = []string{"/deep" + path, "/deep" + path}
	case a.instance.service == soakUpper:
		calls = []string{"/deep" + path}
	case a.instance.service == soakLower && a.s.deep:
		calls = []string{"/base" + path}
	}
	for i, call := range calls {
		id := fmt.Sprintf("%s.%d", request, i+1)
		res := a.s.send(ctx, a.http, a.instance.outboundAddr, call, id, "")
		a.s.checkResult(id, responseBody(id, nil), res)
		if res.status != http.StatusOK {
			return http.StatusInternalServerError
		}
	}
	return http.StatusOK
}

// soakInstance is one instance of the soak: a backend server and its daemon.
type soakInstance struct {
	id, service, zone string
	ip                netip.Addr
	// serverAddr is where the backend server listens, serverProxyAddr where its daemon reaches it.
	serverAddr, serverProxyAddr                                            netip.AddrPort
	outboundAddr, inboundAddr, inboundProxyAddr, controlAddr, operatorAddr netip.AddrPort
	server                                                                 *soakServer
	serverProxy, inboundProxy                                              *faultProxy

	// faultMu is held while a fault concerns the daemon.
	faultMu sync.Mutex
	mu      sync.Mutex
	daemon  *process
	// startedAt is when the current daemon process was started.
	startedAt time.Time
	// disturbedAt is when its last pause ended.
	disturbedAt time.Time
}
