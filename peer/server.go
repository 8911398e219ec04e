package peer

import (
	"context"
	"net"

	"github.com/pkg/errors"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"sycamorespread.dev/guard"
	"sycamorespread.dev/sycapb"
)

// Server serves the calls of other daemons. Each field On... handles one method
// of the Peer service.
type Server struct {
	OnForward    func(context.Context, *sycapb.Call) *sycapb.Reply
	OnHomeTicket func(*sycapb.TicketRequest) *sycapb.TicketReply
	OnSync       func(*sycapb.SyncRequest) *sycapb.SyncReply
	OnPull       func(*sycapb.PullRequest) *sycapb.PullReply
	OnLocalBurn  func(*sycapb.BurnRequest) *sycapb.BurnReply
	// Guard turns a panic of a handler into an error of its call. It may be nil.
	Guard *guard.Guard
}

// handleCall runs one handler under the guard.
func handleCall[R any](s *Server, task string, handler func() R) (reply R, err error) {
	err = s.Guard.Call(task, func() { reply = handler() })
	return reply, err
}

// Forward implements the schema's Peer service.
func (s *Server) Forward(ctx context.Context, c *sycapb.Call) (*sycapb.Reply, error) {
	return handleCall(s, "forward", func() *sycapb.Reply { return s.OnForward(ctx, c) })
}

// HomeTicket implements the schema's Peer service.
func (s *Server) HomeTicket(_ context.Context, r *sycapb.TicketRequest) (*sycapb.TicketReply, error) {
	return handleCall(s, "ticket", func() *sycapb.TicketReply { return s.OnHomeTicket(r) })
}

// Sync implements the schema's Peer service.
func (s *Server) Sync(_ context.Context, r *sycapb.SyncRequest) (*sycapb.SyncReply, error) {
	return handleCall(s, "sync", func() *sycapb.SyncReply { return s.OnSync(r) })
}

// Pull implements the schema's Peer service.
func (s *Server) Pull(_ context.Context, r *sycapb.PullRequest) (*sycapb.PullReply, error) {
	return handleCall(s, "pull", func() *sycapb.PullReply { return s.OnPull(r) })
}

// LocalBurn implements the schema's Peer service.
func (s *Server) LocalBurn(_ context.Context, r *sycapb.BurnRequest) (*sycapb.BurnReply, error) {
	return handleCall(s, "burn", func() *sycapb.BurnReply { return s.OnLocalBurn(r) })
}

// Serve accepts connections on l until ctx is done, then closes those that are
// still open.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	mux := drpcmux.New()
	if err := sycapb.DRPCRegisterPeer(mux, s); err != nil {
		return errors.Wrap(err, "register the peer service")
	}
	err := drpcserver.New(mux).Serve(ctx, l)
	return errors.Wrap(err, "serve peers")
}
