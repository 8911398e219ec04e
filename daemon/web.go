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
	// headerWait bounds the time for the header of a request.
	headerWait = 5 * time.Second
	// maxHeader bounds the header of a request, in bytes.
	maxHeader = 16 << 10
	// compressFrom is the size of an answer from which compression pays, in bytes.
	compressFrom = 64 << 10
	// maxRequest bounds the body of a request, in bytes.
	maxRequest = 4 << 20
)

// webServer serves callers, operators and the backend server over connect.
func (d *Daemon) webServer() *http.Server {
	mux := http.NewServeMux()
	plain := connect.WithCompressMinBytes(compressFrom)
	mux.Handle(sycapb.NewEntryHandler(d, plain))
	mux.Handle(sycapb.NewEgressHandler(d, plain))
	mux.Handle(sycapb.NewOperatorHandler(d, plain))
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           d.guard.Handler("call", http.MaxBytesHandler(mux, maxRequest)),
		ReadHeaderTimeout: headerWait,
		MaxHeaderBytes:    maxHeader,
		Protocols:         &protocols,
	}
}

func serveWeb(s *http.Server, l net.Listener) error {
	err := s.Serve(l)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serve callers")
}

// peerServer serves other daemons over drpc.
func (d *Daemon) peerServer() *peer.Server {
	return &peer.Server{
		OnForward:    func(ctx context.Context, c *sycapb.Call) *sycapb.Reply { return d.serve(ctx, c) },
		OnHomeTicket: d.homeTicket,
		OnSync:       d.node.HandleSync,
		OnPull:       d.givePolicy,
		OnLocalBurn:  d.localBurn,
		Guard:        d.guard,
	}
}
