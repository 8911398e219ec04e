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

var testHeaders = front.Headers{
	RequestID: "T-Request", TimeLeft: "T-Left", Signature: "T-Signature", ExpectedInstance: "T-Expected",
	Load: "T-Load", NotRun: "T-Not-Run", OriginService: "T-Origin", Instance: "T-Instance", Limit: "T-Limit", Leaving: "T-Leaving",
}

// fakeServer is a fake backend server. Its handler writes the raw bytes of each response.
type fakeServer struct {
	listener net.Listener
	g        errgroup.Group
	mu       sync.Mutex
	conns    map[net.Conn]bool
	// closed is set by close; later connections are closed at once.
	closed bool
	// handler responds to one request; if it returns false, the connection is closed.
	handler  func(w net.Conn, r *http.Request, body string) bool
	runs     atomic.Int64
	received []*http.Request
}

// respondOK sends a valid response with status 200.
func respondOK(w net.Conn, r *http.Request, body string) bool {
	respond(w, r, 200, "run of "+r.URL.Path+" "+body)
	return true
}

func respond(w io.Writer, r *http.Request, status int, body string) {
	_, _ = fmt.Fprintf(w, "HTTP/1.1 %d X\r\nT-Request: %s\r\nT-Signature: s\r\nContent-Length: %d\r\n\r\n%s",
		status, r.Header.Get(testHeaders.RequestID), len(body), body)
}

func newFakeServer(t testing.TB) *fakeServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &fakeServer{listener: l, handler: respondOK, conns: map[net.Conn]bool{}}
	s.g.Go(s.serve)
	t.Cleanup(s.close)
	return s
}

func (s *fakeServer) close() {
	_ = s.currentListener().Close()
	s.mu.Lock()
	s.closed = true
	for c := range s.conns {
		_ = c.Close()
	}
	s.mu.Unlock()
	_ = s.g.Wait()
}

func (s *fakeServer) addr() netip.AddrPort {
	return s.currentListener().Addr().(*net.TCPAddr).AddrPort()
}

// currentListener returns the listener, which a restart replaces.
func (s *fakeServer) currentListener() net.Listener {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listener
}

func (s *fakeServer) serve() error {
	l := s.currentListener()
	for {
		c, err := l.Accept()
		if err != nil {
			return nil
		}
		s.mu.Lock()
		s.conns[c] = true
		if s.closed {
			_ = c.Close()
		}
		s.mu.Unlock()
		s.g.Go(func() error {
			s.serveConn(c)
			return nil
		})
	}
}

// openConns returns the number of connections that callers have not closed.
func (s *fakeServer) openConns() int {
	time.Sleep(20 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

func (s *fakeServer) serveConn(c net.Conn) {
	defer func() {
		_ = c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(r.Body)
		s.runs.Add(1)
		s.mu.Lock()
		s.received = append(s.received, r)
		handler := s.handler
		s.mu.Unlock()
		if !handler(c, r, string(body)) {
			return
		}
	}
}

func (s *fakeServer) setHandler(f func(w net.Conn, r *http.Request, body string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handler = f
}

func (s *fakeServer) requests() []*http.Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*http.Request(nil), s.received...)
}

// instance is a Front with its backend server.
type instance struct {
	*front.Front
	*fakeServer
	id                string
	keeper            *life.Tracker
	table             *route.Table
	gate              *admit.Gate
	outbound, inbound netip.AddrPort
	stopping          atomic.Bool
	// stopEnd is when the instance ends, nil if it is not about to stop.
	stopEnd atomic.Pointer[time.Time]
}

// stopsIn makes the instance stop, and end after d.
func (i *instance) stopsIn(d time.Duration) {
	end := time.Now().Add(d)
	i.stopEnd.Store(&end)
	i.stopping.Store(true)
}

func (i *instance) stopEndsAt() time.Time {
	if end := i.stopEnd.Load(); end != nil {
		return *end
	}
	return time.Time{}
}

// cluster is a set of instances with each other in their routing tables.
type cluster struct {
	t         testing.TB
	g         errgroup.Group
	instances []*instance
	mu        sync.Mutex
	table     *policy.Table
	probe     func(id string) bool
	cleanups  []func()
	logLines  logLines
	// discardLogs discards the log output of instances added from then on.
	discardLogs bool
	// slots is the number of requests that a backend server runs concurrently.
	slots int
	// unsoundTime is how long a backend server counts as unsound.
	unsoundTime time.Duration
}

// logLines records the log output.
type logLines struct {
	mu    sync.Mutex
	lines []string
}

// Write implements io.Writer.
func (l *logLines) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines = append(l.lines, string(b))
	return len(b), nil
}

// matching returns the lines that contain all of the substrings.
func (l *logLines) matching(substrings ...string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var matched []string
	for _, line := range l.lines {
		missing := slices.ContainsFunc(substrings, func(sub string) bool { return !strings.Contains(line, sub) })
		if !missing {
			matched = append(matched, line)
		}
	}
	return matched
}

func newCluster(t testing.TB, routes ...policy.Route) *cluster {
	c := &cluster{t: t, probe: func(string) bool { return true }, slots: 8, unsoundTime: time.Minute}
	c.setRoutes(routes...)
	t.Cleanup(func() {
		for _, f := range c.cleanups {
			f()
		}
		_ = c.g.Wait()
	})
	return c
}

func (c *cluster) setRoutes(routes ...policy.Route) {
	table, err := policy.NewTable(routes, []policy.Service{{Name: "plots"}, {Name: "dues"}, {Name: "other"}}, policy.Limits{MaxBodyBytes: 1 << 20})
	if err != nil {
		c.t.Fatal(err)
	}
	c.mu.Lock()
	c.table = table
	c.mu.Unlock()
}

func (c *cluster) policy() *policy.Policy {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.table == nil {
		return nil
	}
	return policy.FromTable(7, "", c.table)
}

// viewRoute is an idempotent route, payRoute a non-idempotent one with a higher priority.
var (
	viewRoute = policy.Route{
		Name: "view", Host: "h.example", Prefix: "/view/", Rank: 2, Idempotent: true, MaxAttempts: 2,
		Timeout: time.Second, TargetLatency: time.Second, WeightedServices: []policy.WeightedService{{Service: "plots", Weight: 1}},
	}
	payRoute = policy.Route{
		Name: "pay", Host: "h.example", Prefix: "/pay/", Rank: 0, MaxAttempts: 2,
		Timeout: time.Second, TargetLatency: time.Second, WeightedServices: []policy.WeightedService{{Service: "plots", Weight: 1}},
	}
)

// add starts an instance with a backend server of the service.
func (c *cluster) add(service string) *instance {
	c.t.Helper()
	i := &instance{fakeServer: newFakeServer(c.t), id: fmt.Sprintf("i%d", len(c.instances))}
	i.table = route.New(i.id, "z", time.Now)
	i.gate = admit.New(admit.Config{Slots: c.slots, Now: time.Now})
	i.keeper = life.New(i.addr(), time.Now, nil)
	log := logrus.New()
	log.SetOutput(&c.logLines)
	if c.discardLogs {
		log.SetOutput(io.Discard)
	}
	log.SetFormatter(logs.Formatter{})
	i.Front = front.New(front.Config{
		Self: i.id, Service: service, ServerAddr: i.addr(), Headers: testHeaders,
		Policy: c.policy, Server: i.keeper.Server, OnServerDown: i.keeper.MarkDown, OnServerLeaving: i.keeper.MarkLeaving,
		Probe:    func(_ context.Context, id string) bool { return c.probe(id) },
		Stopping: i.stopping.Load, Closing: func() bool { return false }, StopEnd: i.stopEndsAt, RejectsInbound: func(time.Time) bool { return false }, RejectsNested: func(time.Time) bool { return false }, Table: i.table, Gate: i.gate, Budgets: allow.NewBudgets(0.2, 2000, time.Now),
		Quarantine: poison.New(time.Now, func(*sycapb.PoisonEntry) {}),
		PeerPool:   httpc.New(httpc.Config{DialTimeout: time.Second, IdleTimeout: time.Minute, MaxIdleConns: 8, Now: time.Now}),
		ServerPool: httpc.New(httpc.Config{DialTimeout: time.Second, IdleTimeout: time.Minute, MaxIdleConns: 8, SingleFields: testHeaders.Single(), UnsoundTime: c.unsoundTime, Now: time.Now}),
		Stats:      stats.New(), Log: logrus.NewEntry(log), Now: time.Now,
	})
	i.outbound = c.serve(i.Outbound())
	i.inbound = c.serve(i.Inbound())
	ctx, cancel := context.WithCancel(context.Background())
	c.cleanups = append(c.cleanups, cancel)
	c.g.Go(func() error { return i.WatchPeers(ctx) })
	c.g.Go(func() error {
		for t := time.NewTicker(admit.TickInterval); ctx.Err() == nil; <-t.C {
			i.gate.Tick()
		}
		return nil
	})
	c.instances = append(c.instances, i)
	i.heartbeat(service, 1, false)
	c.syncTables()
	return i
}

// syncTables updates the routing tables with all instances.
func (c *cluster) syncTables() {
	var targets []route.Target
	for _, i := range c.instances {
		targets = append(targets, route.Target{ID: i.id, Addr: i.inbound, Service: i.keeper.Server().Service, Zone: "z", Slots: c.slots})
	}
	for _, i := range c.instances {
		i.table.Update(targets)
	}
}

func (i *instance) heartbeat(service string, sequence int64, draining bool) {
	i.keeper.HandleReport(life.Report{
		Instance: "s-" + i.id, StartedAt: time.Unix(1000, 0), Sequence: sequence, Addr: i.addr(), Service: service, Slots: 8, Draining: draining,
	})
}

func (c *cluster) serve(h http.Handler) netip.AddrPort {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		c.t.Fatal(err)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Second, ConnContext: front.ConnContext}
	c.g.Go(func() error {
		_ = s.Serve(l)
		return nil
	})
	c.cleanups = append(c.cleanups, func() { _ = s.Close() })
	return l.Addr().(*net.TCPAddr).AddrPort()
}

// result is the response as the caller received it.
type result struct {
	status int
	header http.Header
	body   string
	// err is set if the response was truncated or did not arrive.
	err error
}

// request sends one request to an instance over a new connection.
func (i *instance) request(method, path, id, body string) result {
	return i.raw(fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h.example\r\nT-Request: %s\r\nT-Left: 3000\r\nContent-Length: %d\r\n\r\n%s", method, path, id, len(body), body))
}

// raw sends the raw bytes of a request to an instance over a new connection.
func (i *instance) raw(request string) result {
	c, err := net.Dial("tcp", i.outbound.String())
	if err != nil {
		return result{err: err}
	}
	defer func() { _ = c.Close() }()
	return send(c, request)
}

// send writes raw bytes and reads one response.
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

// redirect makes source reach the instance with the ID, and no other, at an address.
func (c *cluster) redirect(source *instance, id string, addr netip.AddrPort) {
	for _, i := range c.instances {
		if i.id == id {
			source.table.Update([]route.Target{{ID: id, Addr: addr, Service: i.keeper.Server().Service, Zone: "z", Slots: c.slots}})
		}
	}
}

// newServerReport returns a report of a server with the ID beside an instance.
func newServerReport(i *instance, id string, sequence int64) life.Report {
	return life.Report{Instance: id, StartedAt: time.Unix(1000, 0), Sequence: sequence, Addr: i.addr(), Service: "plots", Slots: 8}
}
