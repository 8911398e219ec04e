package peer

import (
	"context"
	"net"

	"github.com/pkg/errors"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"sycamorespread.dev/sycapb"
)

// Server answers the calls of other daemons through its fields.
type Server struct {
	OnForward    func(context.Context, *sycapb.Call) *sycapb.Reply
	OnHomeTicket func(*sycapb.TicketRequest) *sycapb.TicketReply
	OnSync       func(*sycapb.SyncRequest) *sycapb.SyncReply
	OnPull       func(*sycapb.PullRequest) *sycapb.PullReply
	OnLocalBurn  func(*sycapb.BurnRequest) *sycapb.BurnReply
}

// Forward implements the schema's Peer service.
func (s *Server) Forward(ctx context.Context, c *sycapb.Call) (*sycapb.Reply, error) {
	return s.OnForward(ctx, c), nil
}

// HomeTicket implements the schema's Peer service.
func (s *Server) HomeTicket(_ context.Context, r *sycapb.TicketRequest) (*sycapb.TicketReply, error) {
	return s.OnHomeTicket(r), nil
}

// Sync implements the schema's Peer service.
func (s *Server) Sync(_ context.Context, r *sycapb.SyncRequest) (*sycapb.SyncReply, error) {
	return s.OnSync(r), nil
}

// Pull implements the schema's Peer service.
func (s *Server) Pull(_ context.Context, r *sycapb.PullRequest) (*sycapb.PullReply, error) {
	return s.OnPull(r), nil
}

// LocalBurn implements the schema's Peer service.
func (s *Server) LocalBurn(_ context.Context, r *sycapb.BurnRequest) (*sycapb.BurnReply, error) {
	return s.OnLocalBurn(r), nil
}

// Serve answers on l until ctx ends, then cuts what is still open.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	mux := drpcmux.New()
	if err := sycapb.DRPCRegisterPeer(mux, s); err != nil {
		return errors.Wrap(err, "register the peer service")
	}
	err := drpcserver.New(mux).Serve(ctx, l)
	return errors.Wrap(err, "serve peers")
}
