// Package server is the RPC client of the local backend server.
//
// A Client runs calls, checks health and asks the backend server to drain.
// Errors of Run and Health report whether the call may have run: a *DialError
// means that nothing was sent, a *NoResponseError that no response arrived.
//
//	c := server.New(addr, 60)
//	reply, err := c.Run(ctx, req)
package server

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"connectrpc.com/connect"

	"sycamorespread.dev/httpc"
	"sycamorespread.dev/sycapb"
)

const (
	// dialTimeout limits the time to connect.
	dialTimeout = 500 * time.Millisecond
	// idleTimeout is how long an idle connection is kept open.
	idleTimeout = 90 * time.Second
)

// DialError reports that connecting to a backend server failed; the call did not run.
type DialError struct {
	Addr netip.AddrPort
	Err  error
}

func (e *DialError) Error() string {
	return fmt.Sprintf("connect to backend server %s: %v", e.Addr, e.Err)
}

func (e *DialError) Unwrap() error {
	return e.Err
}

// NoResponseError reports a call without a valid response; the backend server may have run it.
type NoResponseError struct {
	Addr netip.AddrPort
	Err  error
}

func (e *NoResponseError) Error() string {
	return fmt.Sprintf("no response from backend server %s: %v", e.Addr, e.Err)
}

func (e *NoResponseError) Unwrap() error {
	return e.Err
}

const (
	// maxHeaderBytes and maxResponseBytes limit the header and the body of a response. A call between
	// daemons carries at most the 4 MB of drpc.
	maxHeaderBytes   = 64 << 10
	maxResponseBytes = 4 << 20
)

// Client calls one backend server. It is safe for concurrent use.
type Client struct {
	// Addr is the address of the backend server.
	Addr netip.AddrPort

	httpClient *http.Client
	rpc        sycapb.BackendClient
}

// New returns a Client that opens at most maxConns connections. A connection carries one call at a
// time and is closed when its call is canceled.
func New(addr netip.AddrPort, maxConns int) *Client {
	httpClient := &http.Client{Transport: &httpc.LimitTransport{MaxBodyBytes: maxResponseBytes, Next: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConns:        maxConns,
		MaxIdleConnsPerHost: maxConns,
		MaxConnsPerHost:     maxConns,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,

		MaxResponseHeaderBytes: maxHeaderBytes,
	}}}
	// Compression costs more than it saves on a local connection.
	noCompression := connect.WithAcceptCompression("gzip", nil, nil)
	rpc := sycapb.NewBackendClient(httpClient, "http://"+addr.String(), noCompression)
	return &Client{Addr: addr, httpClient: httpClient, rpc: rpc}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.httpClient.CloseIdleConnections()
}

// Run runs a call at the backend server. The error is a *DialError or a *NoResponseError.
func (c *Client) Run(ctx context.Context, req *sycapb.RunRequest) (*sycapb.RunReply, error) {
	r, err := c.rpc.Run(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, c.wrapError(err)
	}
	return r.Msg, nil
}

// wrapError wraps err in a *DialError if nothing was sent, and in a *NoResponseError otherwise.
func (c *Client) wrapError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return &DialError{Addr: c.Addr, Err: err}
	}
	return &NoResponseError{Addr: c.Addr, Err: err}
}

// Health returns an error if the backend server is not healthy.
func (c *Client) Health(ctx context.Context) error {
	r, err := c.rpc.Health(ctx, connect.NewRequest(&sycapb.HealthRequest{}))
	if err != nil {
		return c.wrapError(err)
	}
	if !r.Msg.Ok {
		return &NoResponseError{Addr: c.Addr, Err: errors.New("backend server reports that it is not healthy")}
	}
	return nil
}

// Drain tells the backend server that it will receive no new calls.
func (c *Client) Drain(ctx context.Context) error {
	_, err := c.rpc.Drain(ctx, connect.NewRequest(&sycapb.DrainRequest{}))
	return err
}
