package daemon

import (
	"context"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"sycamorespread.dev/peer"
	"sycamorespread.dev/sycapb"
)

const (
	// headerTimeout bounds the time to read the header of a request.
	headerTimeout = 5 * time.Second
	// maxHeaderBytes bounds the header of a request.
	maxHeaderBytes = 16 << 10
	// compressMinBytes is the minimum size of a response that is compressed; below it compression costs more than it
	// saves.
	compressMinBytes = 64 << 10
	// maxRequestBytes bounds the body of a request.
	maxRequestBytes = 4 << 20
)

// connectServer returns the server for callers, operators and the backend
// server, over connect.
func (d *Daemon) connectServer() *http.Server {
	mux := http.NewServeMux()
	plain := connect.WithCompressMinBytes(compressMinBytes)
	mux.Handle(sycapb.NewEntryHandler(d, plain))
	mux.Handle(sycapb.NewEgressHandler(d, plain))
	mux.Handle(sycapb.NewOperatorHandler(d, plain))
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           d.guard.Handler("call", http.MaxBytesHandler(mux, maxRequestBytes)),
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		Protocols:         &protocols,
	}
}

// serveHTTP runs s on l and returns nil once s is shut down.
func serveHTTP(s *http.Server, l net.Listener) error {
	err := s.Serve(l)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serve HTTP")
}

// peerServer returns the server for other daemons, over drpc.
func (d *Daemon) peerServer() *peer.Server {
	return &peer.Server{
		OnForward:    func(ctx context.Context, c *sycapb.Call) *sycapb.Reply { return d.serve(ctx, c) },
		OnHomeTicket: d.issueTicket,
		OnSync:       d.node.HandleSync,
		OnPull:       d.answerPull,
		OnLocalBurn:  d.localBurn,
		Guard:        d.guard,
	}
}
