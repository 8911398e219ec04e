package peer_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"sycamorespread.dev/action"
	"sycamorespread.dev/guard"
	"sycamorespread.dev/peer"
	"sycamorespread.dev/sycapb"
)

// serve starts a peer that responds to each call after a random delay below
// maxDelay, and so in any order.
func serve(t *testing.T, maxDelay time.Duration) (netip.AddrPort, *net.TCPListener) {
	l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	var g errgroup.Group
	s := &peer.Server{OnForward: func(ctx context.Context, c *sycapb.Call) *sycapb.Reply {
		delay := time.NewTimer(rand.N(maxDelay))
		defer delay.Stop()
		select {
		case <-delay.C:
		case <-ctx.Done():
		}
		body := fmt.Appendf(nil, "response to %d", c.AttemptId)
		r := action.EmptyReply(c, sycapb.Outcome_OUTCOME_DONE, 0, "")
		r.Body, r.Length, r.Digest = body, uint32(len(body)), action.Digest(body)
		return r
	}}
	g.Go(func() error { return s.Serve(ctx, l) })
	t.Cleanup(func() {
		stop()
		_ = g.Wait()
	})
	return l.Addr().(*net.TCPAddr).AddrPort(), l
}

func call() *sycapb.Call {
	id := action.NewID()
	return &sycapb.Call{ActionId: id[:], AttemptId: rand.Uint64()}
}

// Calls that are canceled at random times have late responses. None of them may
// reach another call.
func TestLateResponseDoesNotReachAnotherCall(t *testing.T) {
	addr, _ := serve(t, 4*time.Millisecond)
	c := peer.New(peer.Config{MaxIdleConns: 4, IdleTimeout: time.Minute})
	defer func() { _ = c.Close() }()
	var g errgroup.Group
	for range 16 {
		g.Go(func() error {
			for range 200 {
				if err := cancelAtRandom(c, addr); err != nil {
					return err
				}
			}
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		t.Fatal(err)
	}
}

func cancelAtRandom(c *peer.Client, addr netip.AddrPort) error {
	ctx, cancel := context.WithTimeout(context.Background(), rand.N(6*time.Millisecond))
	defer cancel()
	req := call()
	r, err := c.Forward(ctx, addr, req)
	if err != nil {
		return nil
	}
	if err := action.Verify(req, r); err != nil {
		return err
	}
	if want := fmt.Sprintf("response to %d", req.AttemptId); string(r.Body) != want {
		return fmt.Errorf("got %q, want %q", r.Body, want)
	}
	return nil
}

func TestErrorTypeDependsOnWhetherCallWasSent(t *testing.T) {
	addr, l := serve(t, time.Hour)
	c := peer.New(peer.Config{MaxIdleConns: 4, IdleTimeout: time.Minute})
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := c.Forward(ctx, addr, call())
	var noResponse *peer.NoResponseError
	if !errors.As(err, &noResponse) {
		t.Errorf("call without a response: %v, want a NoResponseError", err)
	}
	_ = l.Close()
	_, err = c.Forward(context.Background(), addr, call())
	var dial *peer.DialError
	if !errors.As(err, &dial) {
		t.Errorf("call to a closed listener: %v, want a DialError", err)
	}
}

// A panic of a handler fails only its call. The process keeps running and serves
// the next call.
func TestPanicFailsOnlyItsCall(t *testing.T) {
	l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	if err != nil {
		t.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	ctx, stop := context.WithCancel(context.Background())
	var g errgroup.Group
	s := &peer.Server{
		OnPull: func(r *sycapb.PullRequest) *sycapb.PullReply {
			if r.Have == 1 {
				panic("bad request")
			}
			return &sycapb.PullReply{Revision: 9}
		},
		Guard: guard.New(logrus.NewEntry(log), nil),
	}
	g.Go(func() error { return s.Serve(ctx, l) })
	defer func() {
		stop()
		_ = g.Wait()
	}()
	c := peer.New(peer.Config{MaxIdleConns: 4, IdleTimeout: time.Minute})
	defer func() { _ = c.Close() }()
	addr := l.Addr().(*net.TCPAddr).AddrPort()
	if _, err := c.Pull(ctx, addr, &sycapb.PullRequest{Have: 1}); err == nil {
		t.Error("no error for the call whose handler panicked")
	}
	r, err := c.Pull(ctx, addr, &sycapb.PullRequest{Have: 2})
	if err != nil || r.Revision != 9 {
		t.Errorf("call after the panic: %v, %v", r, err)
	}
}

// silencer forwards connections to a peer. Those that are open when silence is called carry nothing
// from then on; later ones work.
type silencer struct {
	addr netip.AddrPort
	to   netip.AddrPort
	// silent is closed by silence and replaced.
	silent atomic.Pointer[chan struct{}]
}

func newSilencer(t *testing.T, to netip.AddrPort) *silencer {
	l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	if err != nil {
		t.Fatal(err)
	}
	s := &silencer{addr: l.Addr().(*net.TCPAddr).AddrPort(), to: to}
	open := make(chan struct{})
	s.silent.Store(&open)
	var g errgroup.Group
	t.Cleanup(func() {
		_ = l.Close()
		s.silence()
		_ = g.Wait()
	})
	g.Go(func() error {
		for {
			in, err := l.Accept()
			if err != nil {
				return nil
			}
			out, err := net.Dial("tcp", s.to.String())
			if err != nil {
				return err
			}
			t.Cleanup(func() { _, _ = in.Close(), out.Close() })
			silent := *s.silent.Load()
			g.Go(func() error { return forward(in, out, silent) })
			g.Go(func() error { return forward(out, in, silent) })
		}
	})
	return s
}

func forward(to, from net.Conn, silent <-chan struct{}) error {
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		select {
		case <-silent:
			return nil
		default:
		}
		if err != nil {
			return to.Close()
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return nil
		}
	}
}

func (s *silencer) silence() {
	open := make(chan struct{})
	close(*s.silent.Swap(&open))
}

func TestCallWaitsOnASilentConnection(t *testing.T) {
	l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	var g errgroup.Group
	p := &peer.Server{
		OnPull: func(r *sycapb.PullRequest) *sycapb.PullReply { return &sycapb.PullReply{Revision: r.Have + 1} },
		OnSync: func(*sycapb.SyncRequest) *sycapb.SyncReply { return &sycapb.SyncReply{} },
	}
	g.Go(func() error { return p.Serve(ctx, l) })
	t.Cleanup(func() {
		stop()
		_ = g.Wait()
	})
	s := newSilencer(t, l.Addr().(*net.TCPAddr).AddrPort())
	c := peer.New(peer.Config{MaxIdleConns: 4, IdleTimeout: time.Minute})
	defer func() { _ = c.Close() }()
	for round := range uint64(3) {
		callCtx, cancel := context.WithTimeout(ctx, time.Second)
		if round > 0 {
			s.silence()
		}
		if r, err := c.Pull(callCtx, s.addr, &sycapb.PullRequest{Have: round}); err != nil || r.Revision != round+1 {
			t.Errorf("round %d: %v, %v", round, r, err)
		}
		cancel()
		callCtx, cancel = context.WithTimeout(ctx, time.Second)
		if _, err := c.Sync(callCtx, s.addr, &sycapb.SyncRequest{}); err != nil {
			t.Errorf("round %d: %v", round, err)
		}
		cancel()
	}
}
