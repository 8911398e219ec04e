package front_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"sycamorespread.dev/admit"
	"sycamorespread.dev/allow"
	"sycamorespread.dev/front"
	"sycamorespread.dev/httpc"
	"sycamorespread.dev/life"
	"sycamorespread.dev/logs"
	"sycamorespread.dev/poison"
	"sycamorespread.dev/policy"
	"sycamorespread.dev/route"
	"sycamorespread.dev/stats"
	"sycamorespread.dev/sycapb"
)

var headers = front.Headers{
	RequestID: "T-Request", TimeLeft: "T-Left", Signature: "T-Signature", Expected: "T-Expected",
	Load: "T-Load", NotRun: "T-Not-Run", Origin: "T-Origin", Instance: "T-Instance",
}

// fakeServer is a fake backend server that handles one connection at a time in full
// control of its bytes.
type fakeServer struct {
	l     net.Listener
	g     errgroup.Group
	mu    sync.Mutex
	conns map[net.Conn]bool
	// handle answers one request; false closes the connection.
	handle   func(w net.Conn, r *http.Request, body string) bool
	runs     atomic.Int64
	received []*http.Request
}

// respondOK answers a request as a sound server does.
func respondOK(w net.Conn, r *http.Request, body string) bool {
	respond(w, r, 200, "run of "+r.URL.Path+" "+body)
	return true
}

func respond(w io.Writer, r *http.Request, status int, body string) {
	_, _ = fmt.Fprintf(w, "HTTP/1.1 %d X\r\nT-Request: %s\r\nT-Signature: s\r\nContent-Length: %d\r\n\r\n%s",
		status, r.Header.Get(headers.RequestID), len(body), body)
}

func newFakeServer(t testing.TB) *fakeServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a := &fakeServer{l: l, handle: respondOK, conns: map[net.Conn]bool{}}
	a.g.Go(a.serve)
	t.Cleanup(a.close)
	return a
}

func (a *fakeServer) close() {
	_ = a.l.Close()
	a.mu.Lock()
	for c := range a.conns {
		_ = c.Close()
	}
	a.mu.Unlock()
	_ = a.g.Wait()
}

func (a *fakeServer) addr() netip.AddrPort {
	return a.l.Addr().(*net.TCPAddr).AddrPort()
}

func (a *fakeServer) serve() error {
	for {
		c, err := a.l.Accept()
		if err != nil {
			return nil
		}
		a.mu.Lock()
		a.conns[c] = true
		a.mu.Unlock()
		a.g.Go(func() error {
			a.serveConn(c)
			return nil
		})
	}
}

func (a *fakeServer) serveConn(c net.Conn) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(r.Body)
		a.runs.Add(1)
		a.mu.Lock()
		a.received = append(a.received, r)
		handle := a.handle
		a.mu.Unlock()
		if !handle(c, r, string(body)) {
			return
		}
	}
}

func (a *fakeServer) setHandler(f func(w net.Conn, r *http.Request, body string) bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.handle = f
}

func (a *fakeServer) requests() []*http.Request {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]*http.Request(nil), a.received...)
}

// instance is one Front with its backend server.
type instance struct {
	*front.Front
	*fakeServer
	id       string
	keeper   *life.Tracker
	table    *route.Table
	gate     *admit.Gate
	out, in  netip.AddrPort
	stopping atomic.Bool
}

// cluster is a few instances that know each other.
type cluster struct {
	t         testing.TB
	g         errgroup.Group
	instances []*instance
	mu        sync.Mutex
	table     *policy.Table
	probe     func(id string) bool
	cleanups  []func()
	logLines  logLines
	// discardLogs drops what is logged.
	discardLogs bool
	// slots is the number of requests that a backend server runs at once.
	slots int
}

// logLines keeps what was logged.
type logLines struct {
	mu  sync.Mutex
	all []string
}

// Write implements io.Writer.
func (l *logLines) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all = append(l.all, string(b))
	return len(b), nil
}

// matching returns the lines that contain all the words.
func (l *logLines) matching(words ...string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []string
	for _, line := range l.all {
		missing := slices.ContainsFunc(words, func(w string) bool { return !strings.Contains(line, w) })
		if !missing {
			found = append(found, line)
		}
	}
	return found
}

func newCluster(t testing.TB, routes ...policy.Route) *cluster {
	r := &cluster{t: t, probe: func(string) bool { return true }, slots: 8}
	r.setRoutes(routes...)
	t.Cleanup(func() {
		for _, f := range r.cleanups {
			f()
		}
		_ = r.g.Wait()
	})
	return r
}

func (r *cluster) setRoutes(routes ...policy.Route) {
	table, err := policy.NewTable(routes, []policy.Service{{Name: "plots"}, {Name: "dues"}, {Name: "other"}}, policy.Limits{MaxBodyBytes: 1 << 20})
	if err != nil {
		r.t.Fatal(err)
	}
	r.mu.Lock()
	r.table = table
	r.mu.Unlock()
}

func (r *cluster) policy() *policy.Policy {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.table == nil {
		return nil
	}
	return policy.FromTable(7, "", r.table)
}

// view is a route that may be repeated, pay one that must not.
var (
	view = policy.Route{
		Name: "view", Host: "h.example", Prefix: "/view/", Rank: 2, Idempotent: true, MaxAttempts: 2,
		Timeout: time.Second, TargetLatency: time.Second, WeightedServices: []policy.WeightedService{{Service: "plots", Weight: 1}},
	}
	pay = policy.Route{
		Name: "pay", Host: "h.example", Prefix: "/pay/", Rank: 0, MaxAttempts: 2,
		Timeout: time.Second, TargetLatency: time.Second, WeightedServices: []policy.WeightedService{{Service: "plots", Weight: 1}},
	}
)

// add starts an instance with a backend server of the service.
func (r *cluster) add(service string) *instance {
	r.t.Helper()
	i := &instance{fakeServer: newFakeServer(r.t), id: fmt.Sprintf("i%d", len(r.instances))}
	i.table = route.New(i.id, "z", time.Now)
	i.gate = admit.New(admit.Config{Slots: r.slots, Now: time.Now})
	i.keeper = life.New(i.addr(), time.Now, nil)
	log := logrus.New()
	log.SetOutput(&r.logLines)
	if r.discardLogs {
		log.SetOutput(io.Discard)
	}
	log.SetFormatter(logs.Formatter{})
	i.Front = front.New(front.Config{
		Self: i.id, Service: service, ServerAddr: i.addr(), Headers: headers,
		Policy: r.policy, Server: i.keeper.Server, OnServerDown: i.keeper.MarkDown,
		Probe:    func(_ context.Context, id string) bool { return r.probe(id) },
		Stopping: i.stopping.Load, Closing: func() bool { return false }, Table: i.table, Gate: i.gate, Budgets: allow.NewBudgets(0.2, 2000, time.Now),
		Quarantine: poison.New(time.Now, func(*sycapb.PoisonEntry) {}),
		PeerPool:   httpc.New(httpc.Config{DialTimeout: time.Second, IdleTimeout: time.Minute, MaxIdle: 8, Now: time.Now}),
		ServerPool: httpc.New(httpc.Config{DialTimeout: time.Second, IdleTimeout: time.Minute, MaxIdle: 8, Now: time.Now}),
		Stats:      stats.New(), Log: logrus.NewEntry(log), Now: time.Now,
	})
	i.out = r.serve(i.Outbound())
	i.in = r.serve(i.Inbound())
	ctx, cancel := context.WithCancel(context.Background())
	r.cleanups = append(r.cleanups, cancel)
	r.g.Go(func() error { return i.WatchPeers(ctx) })
	r.g.Go(func() error {
		for t := time.NewTicker(admit.TickInterval); ctx.Err() == nil; <-t.C {
			i.gate.Tick()
		}
		return nil
	})
	r.instances = append(r.instances, i)
	i.heartbeat(service, 1, false)
	r.syncTables()
	return i
}

// syncTables tells all instances of each other.
func (r *cluster) syncTables() {
	var targets []route.Target
	for _, i := range r.instances {
		targets = append(targets, route.Target{ID: i.id, Addr: i.in, Service: i.keeper.Server().Service, Zone: "z", Slots: r.slots})
	}
	for _, i := range r.instances {
		i.table.Update(targets)
	}
}

func (i *instance) heartbeat(service string, sequence int64, draining bool) {
	i.keeper.HandleReport(life.Report{
		Instance: "s-" + i.id, StartedAt: time.Unix(1000, 0), Sequence: sequence, Addr: i.addr(), Service: service, Slots: 8, Draining: draining,
	})
}

func (r *cluster) serve(h http.Handler) netip.AddrPort {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		r.t.Fatal(err)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
	r.g.Go(func() error {
		_ = s.Serve(l)
		return nil
	})
	r.cleanups = append(r.cleanups, func() { _ = s.Close() })
	return l.Addr().(*net.TCPAddr).AddrPort()
}

// result is what a caller got.
type result struct {
	status int
	header http.Header
	body   string
	// err tells that the answer was cut or did not come.
	err error
}

// request sends one request to an instance on a connection of its own.
func (i *instance) request(method, path, id, body string) result {
	c, err := net.Dial("tcp", i.out.String())
	if err != nil {
		return result{err: err}
	}
	defer func() { _ = c.Close() }()
	raw := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h.example\r\nT-Request: %s\r\nT-Left: 3000\r\nContent-Length: %d\r\n\r\n%s", method, path, id, len(body), body)
	return send(c, raw)
}

// send writes raw bytes and reads one answer.
func send(c net.Conn, raw string) result {
	if _, err := io.Copy(c, strings.NewReader(raw)); err != nil {
		return result{err: err}
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return result{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	return result{status: resp.StatusCode, header: resp.Header, body: string(b), err: err}
}
