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

// strayPath is the path of requests whose response is followed by bytes that belong to no request.
const strayPath = "/stray"

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
					r, err := http.ReadRequest(br)
					if err != nil {
						return nil
					}
					time.Sleep(5 * time.Millisecond)
					answer := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
					if r.URL.Path == strayPath {
						answer += "stray"
					}
					_, _ = fmt.Fprint(c, answer)
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

// A connection on which a request that must run once was sent to an unsound server can't carry another
// one. Each stayed open, so that they exceeded the number that a server accepts.
func TestUnsoundServerConnsKept(t *testing.T) {
	addr, open := serveKeepAlive(t)
	p := httpc.New(httpc.Config{DialTimeout: time.Second, IdleTimeout: time.Minute, MaxIdleConns: 64, UnsoundTime: time.Minute, Now: time.Now})
	t.Cleanup(p.Close)
	send := func(path string, once bool) {
		t.Helper()
		resp, err := p.Do(context.Background(), addr, &httpc.Request{Method: "POST", Target: path, Host: "h", MaxBuffer: 10, Once: once})
		if err != nil {
			t.Fatal(err)
		}
		resp.Close()
	}
	send(strayPath, false)
	send("/", false)
	for range 40 {
		send("/", true)
	}
	for end := time.Now().Add(2 * time.Second); open.Load() > 1 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	if n := open.Load(); n != 1 {
		t.Errorf("%d connections open, want that of the request that may be sent again", n)
	}
	dials := p.Dials()
	send("/", false)
	if p.Dials() != dials {
		t.Error("a request that may be sent again was sent on a new connection")
	}
}
