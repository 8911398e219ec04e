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
	// soakSlots is the number of requests that a backend server of the soak runs at once.
	soakSlots = 16
	// soakBeat is the time between two reports of a backend server.
	soakBeat = 400 * time.Millisecond
	// drainBound is how long after the acknowledged leave a request may still arrive.
	drainBound = 2 * time.Second
)

// soakApp is the backend server of one instance, played by the soak itself.
type soakApp struct {
	s       *soak
	node    *soakNode
	names   front.Headers
	slow    atomic.Int64
	garble  atomic.Bool
	running atomic.Int64
	http    *http.Client

	// life is held while a fault ends the server and starts it again.
	life     sync.Mutex
	mu       sync.Mutex
	server   *http.Server
	id       string
	born     time.Time
	sequence int64
	draining bool
	ackedAt  time.Time
	starts   int
}

// start listens as a new incarnation.
func (a *soakApp) start() error {
	l, err := net.Listen("tcp", a.node.app.String())
	if err != nil {
		return errors.Wrap(err, "backend server")
	}
	a.mu.Lock()
	a.starts++
	a.id = fmt.Sprintf("i-%s-%d", a.node.id, a.starts)
	a.born = time.Now()
	a.sequence, a.draining, a.ackedAt = 0, false, time.Time{}
	id := a.id
	srv := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { a.serve(w, r, id) })}
	a.server = srv
	a.mu.Unlock()
	a.s.g.Go(func() error {
		// It ends when the soak closes it.
		_ = srv.Serve(l)
		return nil
	})
	return nil
}

// crash closes the listener and all connections.
func (a *soakApp) crash() {
	a.mu.Lock()
	defer a.mu.Unlock()
	// Its connections are cut on purpose.
	_ = a.server.Close()
}

func (a *soakApp) report() life.Report {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sequence++
	return life.Report{
		Instance: a.id, StartedAt: a.born, Sequence: a.sequence, Addr: a.node.seen, Service: a.node.service,
		Software: "v1", Zone: a.node.zone, Slots: soakSlots, Draining: a.draining,
	}
}

// beats reports to the daemon until ctx ends, and notes when it acknowledged
// that the server leaves.
func (a *soakApp) beats(ctx context.Context) error {
	for sleepFor(ctx, soakBeat) {
		r := a.report()
		call, cancel := context.WithTimeout(ctx, time.Second)
		status, err := platform.SendHeartbeat(call, a.http, a.node.control, r)
		cancel()
		if err == nil && status == http.StatusOK && r.Draining {
			a.mu.Lock()
			if a.id == r.Instance && a.ackedAt.IsZero() {
				a.ackedAt = time.Now()
			}
			a.mu.Unlock()
		}
	}
	return nil
}

// drain says that the server leaves, serves a while longer and starts again
// as another one.
func (a *soakApp) drain(ctx context.Context) {
	a.life.Lock()
	defer a.life.Unlock()
	a.mu.Lock()
	a.draining = true
	a.mu.Unlock()
	sleepFor(ctx, drainBound+2*time.Second)
	a.crash()
	sleepFor(ctx, 200*time.Millisecond)
	a.again(ctx)
}

// again starts the next incarnation unless the soak has ended.
func (a *soakApp) again(ctx context.Context) {
	if ctx.Err() != nil {
		return
	}
	if err := a.start(); err != nil {
		a.s.broke("start", a.node.id, err.Error())
	}
}

// serve runs one request.
func (a *soakApp) serve(w http.ResponseWriter, r *http.Request, id string) {
	h := w.Header()
	h.Set(a.names.Instance, id)
	h.Set(a.names.Load, fmt.Sprintf("%d,0,%d", a.running.Load(), soakSlots))
	if r.URL.Path == "/health" {
		if a.isDraining() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	request := r.Header.Get(a.names.RequestID)
	h.Set(a.names.RequestID, request)
	switch {
	case r.Header.Get(a.names.ExpectedInstance) != id:
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case a.running.Add(1) > soakSlots:
		a.running.Add(-1)
		h.Set(a.names.NotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer a.running.Add(-1)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	a.check(r, request)
	a.s.ran(request, strings.HasPrefix(r.URL.Path, "/pay/"))
	sleepFor(r.Context(), 5*time.Millisecond+time.Duration(a.slow.Load()))
	status := a.call(r.Context(), request, r.URL.Path)
	h.Set(a.names.Signature, "sig-"+request)
	if a.garble.Load() && rand.IntN(10) == 0 {
		a.spoil(w, request)
		return
	}
	w.WriteHeader(status)
	_, _ = io.WriteString(w, answerTo(request, body))
}

// answerTo is the whole answer to a request.
func answerTo(request string, body []byte) string {
	return "answer to " + request + " " + string(body)
}

// spoil cuts the answer, or gives another request's.
func (a *soakApp) spoil(w http.ResponseWriter, request string) {
	if rand.IntN(2) == 0 {
		w.Header().Set(a.names.RequestID, "stranger")
		_, _ = io.WriteString(w, answerTo("stranger", nil))
		return
	}
	w.Header().Set("Content-Length", "1000")
	_, _ = io.WriteString(w, answerTo(request, nil))
	panic(http.ErrAbortHandler)
}

func (a *soakApp) isDraining() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.draining
}

// check judges the arrival of a request.
func (a *soakApp) check(r *http.Request, request string) {
	a.mu.Lock()
	acked := a.ackedAt
	a.mu.Unlock()
	if late := time.Since(acked); !acked.IsZero() && late > drainBound {
		a.s.broke("leaving", request, fmt.Sprintf("arrived at %s %s after its leave was acknowledged", a.node.id, late))
	}
	if r.Header.Get(a.names.OriginService) == "" || r.Header.Get(a.names.TimeLeft) == "" {
		a.s.broke("header", request, "has no origin or no time left")
	}
}

// call makes the server's own call for requests of the upper service.
func (a *soakApp) call(ctx context.Context, request, path string) int {
	if a.node.service != soakUpper {
		return http.StatusOK
	}
	got := a.s.ask(ctx, a.http, a.node.out, "/deep"+path, request+".1", "")
	if got.status != http.StatusOK {
		return http.StatusInternalServerError
	}
	return http.StatusOK
}

// soakNode is one instance of the soak.
type soakNode struct {
	id, service, zone string
	ip                netip.Addr
	// app is where the backend server listens, seen where its daemon finds it.
	app, seen                         netip.AddrPort
	out, in, inDoor, control, operate netip.AddrPort
	server                            *soakApp
	appDoor, hopDoor                  *door

	// busy is held while a fault concerns the daemon.
	busy   sync.Mutex
	mu     sync.Mutex
	daemon *process
	// since is when the present process was started.
	since time.Time
}
