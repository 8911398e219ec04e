// Package server is the client of the backend server beside the daemon.
//
// A Client runs calls, reads health and load, and asks the backend server to
// drain. Errors tell whether the call may have run: a *DialError means that
// nothing was sent, a *NoResponseError that the answer is missing.
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
	// dialTimeout bounds the time to connect.
	dialTimeout = 500 * time.Millisecond
	// idleTimeout is how long an idle connection is kept.
	idleTimeout = 90 * time.Second
)

// DialError reports a backend server that could not be reached; nothing ran.
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

// NoResponseError reports a run without an answer.
type NoResponseError struct {
	Addr netip.AddrPort
	Err  error
}

func (e *NoResponseError) Error() string {
	return fmt.Sprintf("answer of backend server %s lost: %v", e.Addr, e.Err)
}

func (e *NoResponseError) Unwrap() error {
	return e.Err
}

const (
	// maxHeaderBytes bounds the head of an answer and maxResponseBytes its body, in bytes; a call between daemons carries at most
	// the 4 MB of drpc.
	maxHeaderBytes   = 64 << 10
	maxResponseBytes = 4 << 20
)

// Client calls one backend server. It is safe for concurrent use.
type Client struct {
	// Addr is where the backend server listens.
	Addr netip.AddrPort

	http *http.Client
	rpc  sycapb.BackendClient
}

// New returns a client that keeps at most conns connections. A connection is
// used by one call at a time; it is closed when its call is cancelled.
func New(addr netip.AddrPort, maxConns int) *Client {
	h := &http.Client{Transport: &httpc.LimitTransport{MaxBodyBytes: maxResponseBytes, Next: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConns:        maxConns,
		MaxIdleConnsPerHost: maxConns,
		MaxConnsPerHost:     maxConns,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,

		MaxResponseHeaderBytes: maxHeaderBytes,
	}}}
	// Compression costs more than it saves beside the backend server.
	plain := connect.WithAcceptCompression("gzip", nil, nil)
	rpc := sycapb.NewBackendClient(h, "http://"+addr.String(), plain)
	return &Client{Addr: addr, http: h, rpc: rpc}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// Run carries out one call. Its error is a *DialError or a *NoResponseError.
func (c *Client) Run(ctx context.Context, req *sycapb.RunRequest) (*sycapb.RunReply, error) {
	r, err := c.rpc.Run(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, c.wrapError(err)
	}
	return r.Msg, nil
}

func (c *Client) wrapError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return &DialError{Addr: c.Addr, Err: err}
	}
	return &NoResponseError{Addr: c.Addr, Err: err}
}

// Health asks whether the backend server is up.
func (c *Client) Health(ctx context.Context) error {
	r, err := c.rpc.Health(ctx, connect.NewRequest(&sycapb.HealthRequest{}))
	if err != nil {
		return c.wrapError(err)
	}
	if !r.Msg.Ok {
		return &NoResponseError{Addr: c.Addr, Err: errors.New("it reports that it is not healthy")}
	}
	return nil
}

// Drain tells the backend server that no new work comes.
func (c *Client) Drain(ctx context.Context) error {
	_, err := c.rpc.Drain(ctx, connect.NewRequest(&sycapb.DrainRequest{}))
	return err
}
