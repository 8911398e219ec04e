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
	// crashMarker in a request body makes the backend server crash.
	crashMarker = "POISON"
	// crashExitCode is the exit code of such a crash.
	crashExitCode = 3
	// maxIdleConns is the maximum number of idle connections to the daemon.
	maxIdleConns = 1024
	// loadReportInterval is the interval at which the reported load is refreshed.
	loadReportInterval = time.Second
)

// method is the simulated behavior of one method.
type method struct {
	duration time.Duration
	calls    []string
}

// backend simulates a backend server. Each run occupies a slot for its run time and
// for its downstream calls, which it makes one after another.
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
	// warmUp is how long runs are slower after the start; they take twice as long at first.
	warmUp  time.Duration
	started time.Time
}

func serverCommand() *cobra.Command {
	c := &cobra.Command{Use: "server FILE", Short: "Simulate a backend server", Args: cobra.ExactArgs(1)}
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
		return nil, "", errors.Wrap(err, "open the ledger of runs")
	}
	b.started = time.Now()
	b.warmUp = s.Key("cold").MustDuration(0)
	normalSpeed := 1.0
	b.slowdown.Store(&normalSpeed)
	for _, m := range f.Section("methods").Keys() {
		b.methods[m.Name()], err = parseMethod(m.Strings(" "))
		if err != nil {
			return nil, "", errors.Wrapf(err, "settings %s method %s", file, m.Name())
		}
	}
	return b, s.Key("addr").String(), nil
}

// parseMethod parses a run time and the downstream methods, for example
// "10ms plots.get waitlists.count".
func parseMethod(words []string) (method, error) {
	if len(words) == 0 {
		return method{}, errors.New("want a run time and the downstream methods")
	}
	d, err := time.ParseDuration(words[0])
	return method{duration: d, calls: words[1:]}, err
}

// Run implements the Backend service.
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

// execute waits for the run time, makes the downstream calls and returns the response.
func (b *backend) execute(ctx context.Context, m *sycapb.RunRequest, def method) (*connect.Response[sycapb.RunReply], error) {
	t := time.NewTimer(time.Duration(float64(def.duration) * *b.slowdown.Load() * b.warmUpFactor()))
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
		return nil, connect.NewError(connect.CodeCanceled, ctx.Err())
	}
	var response bytes.Buffer
	fmt.Fprintf(&response, "%s.%s|%x|%x", b.service, m.Method, m.ActionId, action.Digest(m.Body))
	for _, to := range def.calls {
		part, problem := b.call(ctx, m, to)
		if problem != "" {
			return connect.NewResponse(b.failure(m, true, problem)), nil
		}
		fmt.Fprintf(&response, "[%s]", part)
	}
	response.WriteString("|end")
	body := response.Bytes()
	return connect.NewResponse(&sycapb.RunReply{RunId: m.RunId, Body: body, Digest: action.Digest(body)}), nil
}

// warmUpFactor returns the factor on the run time, which falls from 2 to 1 during the
// warm-up.
func (b *backend) warmUpFactor() float64 {
	left := b.warmUp - time.Since(b.started)
	if left <= 0 {
		return 1
	}
	return 1 + float64(left)/float64(b.warmUp)
}

// call makes one downstream call. If it fails, problem is the reason.
func (b *backend) call(ctx context.Context, m *sycapb.RunRequest, to string) (body []byte, problem string) {
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

// recordRun writes a run to the ledger, which survives a crash of the server.
func (b *backend) recordRun(m *sycapb.RunRequest) error {
	_, err := fmt.Fprintf(b.ledger, "%x %s.%s\n", m.ActionId, b.service, m.Method)
	return err
}

// reportLoadLoop refreshes the reported load every loadReportInterval; in between, the
// server reports a stale value.
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

// Health implements the Backend service.
func (b *backend) Health(context.Context, *connect.Request[sycapb.HealthRequest]) (*connect.Response[sycapb.HealthReply], error) {
	return connect.NewResponse(&sycapb.HealthReply{Ok: true}), nil
}

// Load implements the Backend service.
func (b *backend) Load(context.Context, *connect.Request[sycapb.LoadRequest]) (*connect.Response[sycapb.LoadReply], error) {
	return connect.NewResponse(&sycapb.LoadReply{Running: uint32(b.reportedLoad.Load()), Slots: uint32(cap(b.slots))}), nil
}

// Drain implements the Backend service.
func (b *backend) Drain(context.Context, *connect.Request[sycapb.DrainRequest]) (*connect.Response[sycapb.DrainReply], error) {
	b.draining.Store(true)
	return connect.NewResponse(&sycapb.DrainReply{}), nil
}

// SetFaults implements the ServerControl service.
func (b *backend) SetFaults(_ context.Context, req *connect.Request[sycapb.ServerFaults]) (*connect.Response[sycapb.ServerFaults], error) {
	if f := req.Msg.Slow; f > 0 {
		b.slowdown.Store(&f)
	}
	return connect.NewResponse(req.Msg), nil
}
