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

var names = front.Headers{
	RequestID: "T-Request", TimeLeft: "T-Left", Signature: "T-Signature", Expected: "T-Expected",
	Load: "T-Load", NotRun: "T-Not-Run", Origin: "T-Origin", Instance: "T-Instance",
}

// app is a fake backend server that handles one connection at a time in full
// control of its bytes.
type app struct {
	l    net.Listener
	g    errgroup.Group
	mu   sync.Mutex
	open map[net.Conn]bool
	// handle answers one request; false closes the connection.
	handle func(w net.Conn, r *http.Request, body string) bool
	runs   atomic.Int64
	seen   []*http.Request
}

// whole answers a request as a sound server does.
func whole(w net.Conn, r *http.Request, body string) bool {
	answer(w, r, 200, "run of "+r.URL.Path+" "+body)
	return true
}

func answer(w io.Writer, r *http.Request, status int, body string) {
	_, _ = fmt.Fprintf(w, "HTTP/1.1 %d X\r\nT-Request: %s\r\nT-Signature: s\r\nContent-Length: %d\r\n\r\n%s",
		status, r.Header.Get(names.RequestID), len(body), body)
}

func newApp(t testing.TB) *app {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a := &app{l: l, handle: whole, open: map[net.Conn]bool{}}
	a.g.Go(a.serve)
	t.Cleanup(a.close)
	return a
}

func (a *app) close() {
	_ = a.l.Close()
	a.mu.Lock()
	for c := range a.open {
		_ = c.Close()
	}
	a.mu.Unlock()
	_ = a.g.Wait()
}

func (a *app) addr() netip.AddrPort {
	return a.l.Addr().(*net.TCPAddr).AddrPort()
}

func (a *app) serve() error {
	for {
		c, err := a.l.Accept()
		if err != nil {
			return nil
		}
		a.mu.Lock()
		a.open[c] = true
		a.mu.Unlock()
		a.g.Go(func() error {
			a.conn(c)
			return nil
		})
	}
}

func (a *app) conn(c net.Conn) {
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
		a.seen = append(a.seen, r)
		handle := a.handle
		a.mu.Unlock()
		if !handle(c, r, string(body)) {
			return
		}
	}
}

func (a *app) on(f func(w net.Conn, r *http.Request, body string) bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.handle = f
}

func (a *app) requests() []*http.Request {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]*http.Request(nil), a.seen...)
}

// instance is one Front with its backend server.
type instance struct {
	*front.Front
	*app
	id       string
	keeper   *life.Tracker
	table    *route.Table
	gate     *admit.Gate
	out, in  netip.AddrPort
	stopping atomic.Bool
}

// rig is a few instances that know each other.
type rig struct {
	t     testing.TB
	g     errgroup.Group
	list  []*instance
	mu    sync.Mutex
	table *policy.Table
	reach func(id string) bool
	close []func()
	lines lines
	// quiet drops what is logged.
	quiet bool
	// slots is the number of requests that a backend server runs at once.
	slots int
}

// lines keeps what was logged.
type lines struct {
	mu  sync.Mutex
	all []string
}

// Write implements io.Writer.
func (l *lines) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all = append(l.all, string(b))
	return len(b), nil
}

// of returns the lines that contain all the words.
func (l *lines) of(words ...string) []string {
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

func newRig(t testing.TB, routes ...policy.Route) *rig {
	r := &rig{t: t, reach: func(string) bool { return true }, slots: 8}
	r.routes(routes...)
	t.Cleanup(func() {
		for _, f := range r.close {
			f()
		}
		_ = r.g.Wait()
	})
	return r
}

func (r *rig) routes(routes ...policy.Route) {
	table, err := policy.NewTable(routes, []policy.Service{{Name: "plots"}, {Name: "dues"}, {Name: "other"}}, policy.Limits{Body: 1 << 20})
	if err != nil {
		r.t.Fatal(err)
	}
	r.mu.Lock()
	r.table = table
	r.mu.Unlock()
}

func (r *rig) policy() *policy.Policy {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.table == nil {
		return nil
	}
	return policy.Routed(7, "", r.table)
}

// view is a route that may be repeated, pay one that must not.
var (
	view = policy.Route{
		Name: "view", Host: "h.example", Prefix: "/view/", Rank: 2, Repeatable: true, Attempts: 2,
		Timeout: time.Second, Target: time.Second, Parts: []policy.Part{{Service: "plots", Weight: 1}},
	}
	pay = policy.Route{
		Name: "pay", Host: "h.example", Prefix: "/pay/", Rank: 0, Attempts: 2,
		Timeout: time.Second, Target: time.Second, Parts: []policy.Part{{Service: "plots", Weight: 1}},
	}
)

// add starts an instance with a backend server of the service.
func (r *rig) add(service string) *instance {
	r.t.Helper()
	i := &instance{app: newApp(r.t), id: fmt.Sprintf("i%d", len(r.list))}
	i.table = route.New(i.id, "z", time.Now)
	i.gate = admit.New(admit.Config{Slots: r.slots, Now: time.Now})
	i.keeper = life.New(i.addr(), time.Now, nil)
	log := logrus.New()
	log.SetOutput(&r.lines)
	if r.quiet {
		log.SetOutput(io.Discard)
	}
	log.SetFormatter(logs.Formatter{})
	i.Front = front.New(front.Config{
		Self: i.id, Service: service, App: i.addr(), Headers: names,
		Policy: r.policy, Server: i.keeper.Server, Lost: i.keeper.MarkDown,
		Reach:    func(_ context.Context, id string) bool { return r.reach(id) },
		Stopping: i.stopping.Load, Closing: func() bool { return false }, Table: i.table, Gate: i.gate, Budgets: allow.NewBudgets(0.2, 2000, time.Now),
		Book:    poison.New(time.Now, func(*sycapb.PoisonEntry) {}),
		Peers:   httpc.New(httpc.Config{DialTimeout: time.Second, Idle: time.Minute, MaxIdle: 8, Now: time.Now}),
		Backend: httpc.New(httpc.Config{DialTimeout: time.Second, Idle: time.Minute, MaxIdle: 8, Now: time.Now}),
		Stats:   stats.New(), Log: logrus.NewEntry(log), Now: time.Now,
	})
	i.out = r.serve(i.Outbound())
	i.in = r.serve(i.Inbound())
	ctx, cancel := context.WithCancel(context.Background())
	r.close = append(r.close, cancel)
	r.g.Go(func() error { return i.WatchPeers(ctx) })
	r.g.Go(func() error {
		for t := time.NewTicker(admit.TickInterval); ctx.Err() == nil; <-t.C {
			i.gate.Tick()
		}
		return nil
	})
	r.list = append(r.list, i)
	i.beat(service, 1, false)
	r.know()
	return i
}

// know tells all instances of each other.
func (r *rig) know() {
	var targets []route.Target
	for _, i := range r.list {
		targets = append(targets, route.Target{ID: i.id, Addr: i.in, Service: i.keeper.Server().Service, Zone: "z", Slots: r.slots})
	}
	for _, i := range r.list {
		i.table.Update(targets)
	}
}

func (i *instance) beat(service string, sequence int64, draining bool) {
	i.keeper.HandleReport(life.Report{
		Instance: "s-" + i.id, StartedAt: time.Unix(1000, 0), Sequence: sequence, Addr: i.addr(), Service: service, Slots: 8, Draining: draining,
	})
}

func (r *rig) serve(h http.Handler) netip.AddrPort {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		r.t.Fatal(err)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
	r.g.Go(func() error {
		_ = s.Serve(l)
		return nil
	})
	r.close = append(r.close, func() { _ = s.Close() })
	return l.Addr().(*net.TCPAddr).AddrPort()
}

// reply is what a caller got.
type reply struct {
	status int
	header http.Header
	body   string
	// err tells that the answer was cut or did not come.
	err error
}

// ask sends one request to an instance on a connection of its own.
func (i *instance) ask(method, path, id, body string) reply {
	c, err := net.Dial("tcp", i.out.String())
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = c.Close() }()
	raw := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h.example\r\nT-Request: %s\r\nT-Left: 3000\r\nContent-Length: %d\r\n\r\n%s", method, path, id, len(body), body)
	return send(c, raw)
}

// send writes raw bytes and reads one answer.
func send(c net.Conn, raw string) reply {
	if _, err := io.Copy(c, strings.NewReader(raw)); err != nil {
		return reply{err: err}
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, header: resp.Header, body: string(b), err: err}
}
