package main

import (
	"bytes"
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"

	"sycamorespread.dev/action"
	"sycamorespread.dev/caller"
	"sycamorespread.dev/sycapb"
)

const (
	// addedCalls is the number of calls of each kind, direct and through the daemons.
	addedCalls = 3000
	// warmupCalls is the number of calls before the measurement. They open the connections that a
	// running fleet has open already.
	warmupCalls = 1000
	// addedMethod of addedService responds without delay.
	addedService = "plots"
	addedMethod  = "ping"
	addedBody    = 256
)

// latencies is a histogram of call latencies in microseconds.
type latencies struct {
	h *hdrhistogram.Histogram
}

func newLatencies() *latencies {
	return &latencies{h: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)}
}

func (t *latencies) record(d time.Duration) {
	_ = t.h.RecordValue(d.Microseconds())
}

func (t *latencies) quantile(q float64) time.Duration {
	return time.Duration(t.h.ValueAtQuantile(q)) * time.Microsecond
}

// addedLatency is the latency that the daemons add to a call.
type addedLatency struct {
	p50, p99 time.Duration
}

// measureAdded compares calls through the daemons with direct calls of the backend servers. The two
// kinds alternate, and only one call runs at a time.
func (c *cluster) measureAdded(ctx context.Context) (addedLatency, error) {
	direct, viaDaemons := newLatencies(), newLatencies()
	var servers []sycapb.BackendClient
	for _, i := range c.instances {
		if i.service == addedService {
			servers = append(servers, sycapb.NewBackendClient(http.DefaultClient, "http://"+i.serverAddr().String(), connect.WithAcceptCompression("gzip", nil, nil)))
		}
	}
	client := c.client(0)
	for range warmupCalls {
		if err := daemonCall(ctx, client, newLatencies()); err != nil {
			return addedLatency{}, err
		}
	}
	for n := range addedCalls {
		if err := directCall(ctx, servers[n%len(servers)], direct); err != nil {
			return addedLatency{}, err
		}
		if err := daemonCall(ctx, client, viaDaemons); err != nil {
			return addedLatency{}, err
		}
	}
	return addedLatency{
		p50: viaDaemons.quantile(50) - direct.quantile(50),
		p99: viaDaemons.quantile(99) - direct.quantile(99),
	}, nil
}

func directCall(ctx context.Context, rpc sycapb.BackendClient, t *latencies) error {
	id := action.NewID()
	start := time.Now()
	_, err := rpc.Run(ctx, connect.NewRequest(&sycapb.RunRequest{
		ActionId:  id[:],
		Method:    addedMethod,
		Body:      bytes.Repeat([]byte{'x'}, addedBody),
		TimeoutUs: time.Second.Microseconds(),
	}))
	t.record(time.Since(start))
	return errors.Wrap(err, "direct call")
}

func daemonCall(ctx context.Context, client *caller.Client, t *latencies) error {
	start := time.Now()
	res := client.Do(ctx, caller.Request{
		Service: addedService,
		Method:  addedMethod,
		Body:    bytes.Repeat([]byte{'x'}, addedBody),
		Timeout: time.Second,
	})
	t.record(time.Since(start))
	if res.Outcome != sycapb.Outcome_OUTCOME_DONE {
		return errors.Errorf("call through the daemons: outcome %s: %s", res.Outcome, res.Detail)
	}
	return nil
}
