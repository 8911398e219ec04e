package httpc_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"sycamorespread.dev/httpc"
)

// serveKeepAlive responds to requests on persistent connections after 5 ms and counts the open
// connections.
func serveKeepAlive(t *testing.T) (netip.AddrPort, *atomic.Int64) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var open atomic.Int64
	var g errgroup.Group
	g.Go(func() error {
		for {
			c, err := l.Accept()
			if err != nil {
				return nil
			}
			open.Add(1)
			g.Go(func() error {
				defer open.Add(-1)
				defer func() { _ = c.Close() }()
				for br := bufio.NewReader(c); ; {
					if _, err := http.ReadRequest(br); err != nil {
						return nil
					}
					time.Sleep(5 * time.Millisecond)
					_, _ = fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
				}
			})
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
		_ = g.Wait()
	})
	return l.Addr().(*net.TCPAddr).AddrPort(), &open
}

// A burst leaves many idle connections open. Those that are no longer needed must be closed after
// ExcessIdleTimeout, while CoreIdleConns connections remain for the usual load.
func TestExcessIdleConnsClosed(t *testing.T) {
	addr, open := serveKeepAlive(t)
	var offset atomic.Int64
	now := func() time.Time { return time.Now().Add(time.Duration(offset.Load())) }
	p := httpc.New(httpc.Config{DialTimeout: time.Second, IdleTimeout: time.Minute, MaxIdleConns: 64, CoreIdleConns: 2, ExcessIdleTimeout: 4 * time.Second, Now: now})
	t.Cleanup(p.Close)
	burst := func(n int) {
		var g errgroup.Group
		for range n {
			g.Go(func() error {
				resp, err := p.Do(context.Background(), addr, &httpc.Request{Method: "GET", Target: "/", Host: "h", MaxBuffer: 10})
				if err == nil {
					resp.Close()
				}
				return err
			})
		}
		if err := g.Wait(); err != nil {
			t.Fatal(err)
		}
	}
	waitForOpen := func(want int64) {
		t.Helper()
		for end := time.Now().Add(2 * time.Second); open.Load() != want && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		if n := open.Load(); n != want {
			t.Errorf("%d connections open, want %d", n, want)
		}
	}
	burst(40)
	p.CloseExpired()
	waitForOpen(p.Dials())
	offset.Store(int64(5 * time.Second))
	p.CloseExpired()
	waitForOpen(2)
	dials := p.Dials()
	burst(2)
	if p.Dials() != dials {
		t.Errorf("%d connections established for the usual load, want 0", p.Dials()-dials)
	}
	offset.Store(int64(2 * time.Minute))
	p.CloseExpired()
	waitForOpen(0)
}
