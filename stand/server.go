package main

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"
	"gopkg.in/ini.v1"

	"sycamorespread.dev/action"
	"sycamorespread.dev/sycapb"
)

const (
	// crashMarker in a body makes the backend server crash.
	crashMarker = "POISON"
	// crashExitCode is its exit code then.
	crashExitCode = 3
	// maxIdleConns is the number of idle connections kept to the daemon.
	maxIdleConns = 1024
	// loadReportInterval is how old the load is that the backend server reports.
	loadReportInterval = time.Second
)

// method is what the backend server does for one method.
type method struct {
	duration time.Duration
	calls    []string
}

// backend is the stand-in of a backend server: each run holds a slot for its
// run time and for its deeper calls, one after another.
type backend struct {
	service      string
	slots        chan struct{}
	methods      map[string]method
	egress       sycapb.EgressClient
	slowdown     atomic.Pointer[float64]
	running      atomic.Int64
	reportedLoad atomic.Int64
	draining     atomic.Bool
	ledger       *os.File
	// warmUp is how long runs take longer after the start, at first twice as long.
	warmUp  time.Duration
	started time.Time
}

func serverCommand() *cobra.Command {
	c := &cobra.Command{Use: "server FILE", Short: "Stand-in of a backend server", Args: cobra.ExactArgs(1)}
	c.RunE = func(c *cobra.Command, args []string) error {
		b, addr, err := loadBackend(args[0])
		if err != nil {
			return err
		}
		mux := http.NewServeMux()
		mux.Handle(sycapb.NewBackendHandler(b))
		mux.Handle(sycapb.NewServerControlHandler(b))
		g, ctx := errgroup.WithContext(c.Context())
		g.Go(func() error { return serveHTTP(ctx, addr, mux) })
		g.Go(func() error { return b.reportLoadLoop(ctx) })
		return g.Wait()
	}
	return c
}

// loadBackend reads the settings of a backend server.
func loadBackend(file string) (*backend, string, error) {
	f, err := ini.Load(file)
	if err != nil {
		return nil, "", errors.Wrapf(err, "settings %s", file)
	}
	s := f.Section("server")
	tr := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
		MaxIdleConnsPerHost: maxIdleConns,
		DisableCompression:  true,
	}
	b := &backend{
		service: s.Key("service").String(),
		slots:   make(chan struct{}, s.Key("slots").MustInt(1)),
		methods: map[string]method{},
		egress:  sycapb.NewEgressClient(&http.Client{Transport: tr}, "http://"+s.Key("daemon").String(), connect.WithAcceptCompression("gzip", nil, nil)),
	}
	b.ledger, err = os.OpenFile(s.Key("ledger").MustString(os.DevNull), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, "", errors.Wrap(err, "ledger of runs")
	}
	b.started = time.Now()
	b.warmUp = s.Key("cold").MustDuration(0)
	one := 1.0
	b.slowdown.Store(&one)
	for _, m := range f.Section("methods").Keys() {
		b.methods[m.Name()], err = parseMethod(m.Strings(" "))
		if err != nil {
			return nil, "", errors.Wrapf(err, "settings %s method %s", file, m.Name())
		}
	}
	return b, s.Key("addr").String(), nil
}

// parseMethod reads "10ms plots.get waitlists.count".
func parseMethod(words []string) (method, error) {
	if len(words) == 0 {
		return method{}, errors.New("want a run time and the deeper methods")
	}
	d, err := time.ParseDuration(words[0])
	return method{duration: d, calls: words[1:]}, err
}

// Run implements the schema's Backend service.
func (b *backend) Run(ctx context.Context, req *connect.Request[sycapb.RunRequest]) (*connect.Response[sycapb.RunReply], error) {
	m := req.Msg
	if b.draining.Load() {
		return connect.NewResponse(&sycapb.RunReply{RunId: m.RunId, Refused: true}), nil
	}
	def, ok := b.methods[m.Method]
	if !ok {
		return connect.NewResponse(b.failure(m, false, "unknown method "+m.Method)), nil
	}
	select {
	case b.slots <- struct{}{}:
	case <-ctx.Done():
		return nil, connect.NewError(connect.CodeCanceled, ctx.Err())
	}
	b.running.Add(1)
	defer func() {
		b.running.Add(-1)
		<-b.slots
	}()
	if err := b.recordRun(m); err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	if bytes.Contains(m.Body, []byte(crashMarker)) {
		os.Exit(crashExitCode)
	}
	return b.execute(ctx, m, def)
}

// execute spends the run time, makes the deeper calls and answers.
func (b *backend) execute(ctx context.Context, m *sycapb.RunRequest, def method) (*connect.Response[sycapb.RunReply], error) {
	t := time.NewTimer(time.Duration(float64(def.duration) * *b.slowdown.Load() * b.warmUpFactor()))
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
		return nil, connect.NewError(connect.CodeCanceled, ctx.Err())
	}
	var answer bytes.Buffer
	fmt.Fprintf(&answer, "%s.%s|%x|%x", b.service, m.Method, m.ActionId, action.Digest(m.Body))
	for _, to := range def.calls {
		part, problem := b.call(ctx, m, to)
		if problem != "" {
			return connect.NewResponse(b.failure(m, true, problem)), nil
		}
		fmt.Fprintf(&answer, "[%s]", part)
	}
	answer.WriteString("|end")
	body := answer.Bytes()
	return connect.NewResponse(&sycapb.RunReply{RunId: m.RunId, Body: body, Digest: action.Digest(body)}), nil
}

// warmUpFactor returns how much longer runs take while the server is cold.
func (b *backend) warmUpFactor() float64 {
	left := b.warmUp - time.Since(b.started)
	if left <= 0 {
		return 1
	}
	return 1 + float64(left)/float64(b.warmUp)
}

// call makes one deeper call; a problem tells why it is not whole.
func (b *backend) call(ctx context.Context, m *sycapb.RunRequest, to string) (part []byte, problem string) {
	service, name, _ := bytes.Cut([]byte(to), []byte("."))
	r, err := b.egress.Deeper(ctx, connect.NewRequest(&sycapb.DeeperCall{
		RunId:   m.RunId,
		Service: string(service),
		Method:  string(name),
		Body:    m.Body,
	}))
	if err != nil {
		return nil, err.Error()
	}
	if r.Msg.Outcome != sycapb.Outcome_OUTCOME_DONE {
		return nil, fmt.Sprintf("%s: %s %s %s", to, r.Msg.Outcome, r.Msg.Reason, r.Msg.Detail)
	}
	return r.Msg.Body, ""
}

func (b *backend) failure(m *sycapb.RunRequest, deeper bool, problem string) *sycapb.RunReply {
	return &sycapb.RunReply{RunId: m.RunId, DeeperFailed: deeper, Error: problem, Digest: action.Digest(nil)}
}

// recordRun writes a run to the ledger, which outlives a crash.
func (b *backend) recordRun(m *sycapb.RunRequest) error {
	_, err := fmt.Fprintf(b.ledger, "%x %s.%s\n", m.ActionId, b.service, m.Method)
	return err
}

// reportLoadLoop refreshes the reported load, late.
func (b *backend) reportLoadLoop(ctx context.Context) error {
	t := time.NewTicker(loadReportInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			b.reportedLoad.Store(b.running.Load())
		}
	}
}

// Health implements the schema's Backend service.
func (b *backend) Health(context.Context, *connect.Request[sycapb.HealthRequest]) (*connect.Response[sycapb.HealthReply], error) {
	return connect.NewResponse(&sycapb.HealthReply{Ok: true}), nil
}

// Load implements the schema's Backend service.
func (b *backend) Load(context.Context, *connect.Request[sycapb.LoadRequest]) (*connect.Response[sycapb.LoadReply], error) {
	return connect.NewResponse(&sycapb.LoadReply{Running: uint32(b.reportedLoad.Load()), Slots: uint32(cap(b.slots))}), nil
}

// Drain implements the schema's Backend service.
func (b *backend) Drain(context.Context, *connect.Request[sycapb.DrainRequest]) (*connect.Response[sycapb.DrainReply], error) {
	b.draining.Store(true)
	return connect.NewResponse(&sycapb.DrainReply{}), nil
}

// SetFaults implements the schema's ServerControl service.
func (b *backend) SetFaults(_ context.Context, req *connect.Request[sycapb.ServerFaults]) (*connect.Response[sycapb.ServerFaults], error) {
	if f := req.Msg.Slow; f > 0 {
		b.slowdown.Store(&f)
	}
	return connect.NewResponse(req.Msg), nil
}
