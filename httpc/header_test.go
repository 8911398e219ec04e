package httpc_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"sycamorespread.dev/flood"
	"sycamorespread.dev/httpc"
)

// headerOf returns a header of size bytes for a body of length bytes.
func headerOf(size, length int, eol string) string {
	head := fmt.Sprintf("HTTP/1.1 200 OK%sContent-Length: %d%s", eol, length, eol)
	for size-len(head) > 200 {
		head += "X-Filler: " + strings.Repeat("f", 80) + eol
	}
	last := "X-Last: "
	return head + last + strings.Repeat("l", size-len(head)-len(last)-2*len(eol)) + eol + eol
}

// writeBytes writes single bytes, so that each is likely to be read alone.
func writeBytes(c net.Conn, raw string) {
	for i := range len(raw) {
		_, _ = io.WriteString(c, raw[i:i+1])
	}
}

func writeWhole(c net.Conn, raw string) {
	_, _ = io.WriteString(c, raw)
}

// serveRaw answers each request on a connection with the next of the responses, and closes it after the
// last one. conns counts the connections.
func serveRaw(t *testing.T, write func(c net.Conn, raw string), responses ...string) (addr netip.AddrPort, conns *atomic.Int64) {
	t.Helper()
	conns = new(atomic.Int64)
	return serveConns(t, func(c *net.TCPConn) {
		conns.Add(1)
		for _, raw := range responses {
			if _, err := c.Read(make([]byte, 1024)); err != nil {
				return
			}
			write(c, raw)
		}
	}), conns
}

func get(t *testing.T, p *httpc.Pool, addr netip.AddrPort) (*httpc.Response, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	resp, err := p.Do(ctx, addr, &httpc.Request{Method: "GET", Target: "/", Host: "h", MaxBuffer: maxBuffer})
	if err == nil {
		resp.Close()
	}
	return resp, err
}

func newLimitedPool(t *testing.T, maxHeaderBytes int64) *httpc.Pool {
	t.Helper()
	p := httpc.New(httpc.Config{DialTimeout: time.Second, IdleTimeout: time.Second, MaxIdleConns: 4, MaxHeaderBytes: maxHeaderBytes, Now: time.Now})
	t.Cleanup(p.Close)
	return p
}

func TestHeadersOfAllSizes(t *testing.T) {
	for _, eol := range []string{"\r\n", "\n"} {
		for name, write := range map[string]func(net.Conn, string){"whole": writeWhole, "single bytes": writeBytes} {
			for _, size := range []int{250, 4095, 4096, 4097, 8191, 8192, 8193, 20_000, httpc.DefaultMaxHeaderBytes} {
				t.Run(fmt.Sprintf("%d bytes, %q, %s", size, eol, name), func(t *testing.T) {
					t.Parallel()
					first := headerOf(size, 5000, eol) + strings.Repeat("b", 5000)
					addr, conns := serveRaw(t, write, first, headerOf(250, 6, eol)+"second", first)
					p := newPool(t)
					for n, want := range []string{strings.Repeat("b", 5000), "second", strings.Repeat("b", 5000)} {
						resp, err := get(t, p, addr)
						if err != nil {
							t.Fatalf("response %d: %v", n, err)
						}
						if string(resp.Body) != want {
							t.Errorf("response %d: body of %d bytes", n, len(resp.Body))
						}
					}
					if n := conns.Load(); n != 1 {
						t.Errorf("%d connections", n)
					}
				})
			}
		}
	}
}

// Another response that follows a large header and its body is none to the next request.
func TestResponseAfterALargeHeader(t *testing.T) {
	for _, size := range []int{250, 4096, 20_000} {
		const another = "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nanother"
		raw := headerOf(size, 4, "\r\n") + "body" + another
		addr, conns := serveRaw(t, writeWhole, raw, raw)
		p := newPool(t)
		for n := range 3 {
			resp, err := get(t, p, addr)
			if err != nil || string(resp.Body) != "body" {
				t.Fatalf("size %d, response %d: error %v, %+v", size, n, err, resp)
			}
		}
		if n := conns.Load(); n != 3 {
			t.Errorf("size %d: %d connections", size, n)
		}
	}
}

func TestHeaderLimit(t *testing.T) {
	const interim = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
	for _, limit := range []int{300, 4096, 5000, 20_000} {
		for name, write := range map[string]func(net.Conn, string){"whole": writeWhole, "single bytes": writeBytes} {
			for over := range 2 {
				for interims := range 3 {
					before := strings.Repeat(interim, interims)
					raw := before + headerOf(limit-len(before)+over, 4, "\r\n") + "body"
					addr, _ := serveRaw(t, write, raw)
					_, err := get(t, newLimitedPool(t, int64(limit)), addr)
					var sizeErr *httpc.HeaderSizeError
					if tooLarge := errors.As(err, &sizeErr); tooLarge != (over > 0) || !tooLarge && err != nil {
						t.Errorf("limit %d, %d bytes over it, %d interim responses, %s: error %v", limit, over, interims, name, err)
					}
				}
			}
		}
	}
}

// Interim responses, each of them within the limit, exceed it together.
func TestInterimResponsesExceedTheLimit(t *testing.T) {
	interim := "HTTP/1.1 103 Early Hints\r\nLink: " + strings.Repeat("x", 200) + "\r\n\r\n"
	addr, _ := serveRaw(t, writeWhole, strings.Repeat(interim, 5)+headerOf(250, 4, "\r\n")+"body")
	_, err := get(t, newLimitedPool(t, 1000), addr)
	var sizeErr *httpc.HeaderSizeError
	if !errors.As(err, &sizeErr) {
		t.Errorf("error %v", err)
	}
}

// A header that ends early is no response, whatever it is followed by.
func TestEndInsideAHeader(t *testing.T) {
	for _, eol := range []string{"\r\n", "\n"} {
		for _, size := range []int{120, 4200} {
			header := headerOf(size, 0, eol)
			for n := max(0, len(header)-150); n < len(header); n++ {
				addr, _ := serveRaw(t, writeWhole, header[:n])
				_, err := get(t, newPool(t), addr)
				var lost *httpc.NoResponseError
				if !errors.As(err, &lost) || !errors.Is(err, io.ErrUnexpectedEOF) && !errors.Is(err, io.EOF) {
					t.Errorf("%q, %d of %d bytes: error %v", eol, n, len(header), err)
				}
			}
		}
	}
}

// Large headers must not leave a larger buffer with each idle connection, nor cost more with each response.
func TestMemoryOfLargeHeaders(t *testing.T) {
	const exchanges = 20
	responses := make([]string, exchanges)
	for n := range responses {
		responses[n] = headerOf(httpc.DefaultMaxHeaderBytes, 0, "\r\n")
	}
	addr, conns := serveRaw(t, writeWhole, responses...)
	p := newPool(t)
	before := flood.Allocated()
	for n := range exchanges {
		if _, err := get(t, p, addr); err != nil {
			t.Fatalf("response %d: %v", n, err)
		}
	}
	if used := (flood.Allocated() - before) / exchanges; used > maxAlloc/4 {
		t.Errorf("%d KB for a header of %d KB", used>>10, httpc.DefaultMaxHeaderBytes>>10)
	}
	if n := conns.Load(); n != 1 {
		t.Errorf("%d connections", n)
	}
}
