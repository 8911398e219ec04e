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
	// addedCalls is the number of calls of one measurement.
	addedCalls = 3000
	// warmCalls open the connections that a running fleet has.
	warmCalls = 1000
	// addedService and addedMethod answer at once.
	addedService = "plots"
	addedMethod  = "ping"
	addedBody    = 256
)

// times is a histogram of call times in microseconds.
type times struct {
	h *hdrhistogram.Histogram
}

func newTimes() *times {
	return &times{h: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)}
}

func (t *times) add(d time.Duration) {
	_ = t.h.RecordValue(d.Microseconds())
}

func (t *times) quantile(q float64) time.Duration {
	return time.Duration(t.h.ValueAtQuantile(q)) * time.Microsecond
}

// added is the time that the daemons add to one call.
type added struct {
	p50, p99 time.Duration
}

// added measures calls through entry and ingress against direct calls of the
// backend servers, in turns and one after another.
func (c *cluster) added(ctx context.Context) (added, error) {
	direct, through := newTimes(), newTimes()
	var servers []sycapb.BackendClient
	for _, i := range c.instances {
		if i.service == addedService {
			servers = append(servers, sycapb.NewBackendClient(http.DefaultClient, "http://"+i.backend().String(), connect.WithAcceptCompression("gzip", nil, nil)))
		}
	}
	client := c.client(0)
	for range warmCalls {
		if err := throughCall(ctx, client, newTimes()); err != nil {
			return added{}, err
		}
	}
	for n := range addedCalls {
		if err := directCall(ctx, servers[n%len(servers)], direct); err != nil {
			return added{}, err
		}
		if err := throughCall(ctx, client, through); err != nil {
			return added{}, err
		}
	}
	return added{
		p50: through.quantile(50) - direct.quantile(50),
		p99: through.quantile(99) - direct.quantile(99),
	}, nil
}

func directCall(ctx context.Context, rpc sycapb.BackendClient, t *times) error {
	id := action.NewID()
	start := time.Now()
	_, err := rpc.Run(ctx, connect.NewRequest(&sycapb.RunRequest{
		ActionId:  id[:],
		Method:    addedMethod,
		Body:      bytes.Repeat([]byte{'x'}, addedBody),
		TimeoutUs: time.Second.Microseconds(),
	}))
	t.add(time.Since(start))
	return errors.Wrap(err, "direct call")
}

func throughCall(ctx context.Context, client *caller.Client, t *times) error {
	start := time.Now()
	res := client.Do(ctx, caller.Request{
		Service: addedService,
		Method:  addedMethod,
		Body:    bytes.Repeat([]byte{'x'}, addedBody),
		Timeout: time.Second,
	})
	t.add(time.Since(start))
	if res.Outcome != sycapb.Outcome_OUTCOME_DONE {
		return errors.Errorf("call ended %s: %s", res.Outcome, res.Detail)
	}
	return nil
}
