package httpc_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"sycamorespread.dev/flood"
	"sycamorespread.dev/httpc"
)

const (
	// maxAlloc is the maximum number of bytes allocated during the exchange of one unbounded response;
	// an instance may have 184 MB for many of them.
	maxAlloc = 4 << 20
	// maxBuffer is the Request.MaxBuffer of these tests, in bytes.
	maxBuffer = 256 << 10
)

func newPool(t testing.TB) *httpc.Pool {
	p := httpc.New(httpc.Config{DialTimeout: time.Second, IdleTimeout: time.Second, MaxIdleConns: 4, Now: time.Now})
	t.Cleanup(p.Close)
	return p
}

// A server that sends an unbounded header must not exhaust memory or hold the connection: the exchange
// fails before its deadline, within bounded memory, and the connection is closed.
func TestUnboundedHeader(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	faults := map[string]flood.Fault{
		"many lines":        flood.Repeat(ok, "X-Filler: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n"),
		"one line":          flood.Repeat(ok+"X-Filler: ", "a"),
		"short lines":       flood.Repeat(ok, "A:\r\n"),
		"continued line":    flood.Repeat(ok+"X-Filler: a\r\n", " a\r\n"),
		"status line":       flood.Repeat("HTTP/1.1 200 ", "O"),
		"no HTTP":           flood.Repeat("", "\x00\xffgarbage"),
		"interim responses": flood.Repeat("", "HTTP/1.1 102 Processing\r\n\r\n"),
		"long interim":      flood.Repeat("", "HTTP/1.1 103 Early Hints\r\nLink: "+strings.Repeat("x", 3000)+"\r\n\r\n"),
		"interim, no end":   flood.Repeat("HTTP/1.1 103 Early Hints\r\n", "Link: x\r\n"),
		"chunk extension":   flood.Repeat(ok+"Transfer-Encoding: chunked\r\n\r\n5;", "a=b;"),
		"chunk extensions":  flood.Repeat(ok+"Transfer-Encoding: chunked\r\n\r\n", "1;"+strings.Repeat("e", 2000)+"\r\nx\r\n"),
		"trailer":           flood.Repeat(ok+"Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-Trailer: a\r\n"),
		"trailer line":      flood.Repeat(ok+"Transfer-Encoding: chunked\r\n\r\n0\r\nX-Trailer: ", "a"),
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			server := flood.Serve(t, fault)
			p := newPool(t)
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			before := flood.Allocated()
			resp, err := p.Do(ctx, server.Addr(), &httpc.Request{Method: "GET", Target: "/x", Host: "h", MaxBuffer: maxBuffer})
			if err == nil {
				_, err = io.Copy(io.Discard, resp.Stream)
				resp.Close()
			} else {
				var lost *httpc.NoResponseError
				if !errors.As(err, &lost) {
					t.Errorf("error %T %v", err, err)
				}
			}
			if err == nil || ctx.Err() != nil {
				t.Errorf("error %v, context %v", err, ctx.Err())
			}
			if used := flood.Allocated() - before; used > maxAlloc {
				t.Errorf("allocated %d KB", used>>10)
			}
			server.WantClosed(t)
		})
	}
}

func TestUnboundedBody(t *testing.T) {
	faults := map[string]flood.Fault{
		"no length":    flood.Repeat("HTTP/1.1 200 OK\r\n\r\n", "body"),
		"false length": flood.Repeat("HTTP/1.1 200 OK\r\nContent-Length: 9000000000000000000\r\n\r\n", "body"),
		"chunks":       flood.Repeat("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "400\r\n"+strings.Repeat("x", 1024)+"\r\n"),
		"huge chunk":   flood.Repeat("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n7fffffffffffffff\r\n", "body"),
	}
	for name, fault := range faults {
		for _, buffer := range []int64{0, maxBuffer} {
			t.Run(fmt.Sprintf("%s, buffer %d", name, buffer), func(t *testing.T) {
				server := flood.Serve(t, fault)
				p := newPool(t)
				ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
				defer cancel()
				before := flood.Allocated()
				resp, err := p.Do(ctx, server.Addr(), &httpc.Request{Method: "GET", Target: "/x", Host: "h", MaxBuffer: buffer})
				if err != nil {
					t.Fatal(err)
				}
				if resp.Stream == nil {
					t.Fatalf("body of %d bytes taken for complete", len(resp.Body))
				}
				if n, err := io.CopyN(io.Discard, resp.Stream, 16<<20); n != 16<<20 {
					t.Errorf("read %d bytes of the stream: %v", n, err)
				}
				resp.Close()
				if used := flood.Allocated() - before; used > maxAlloc {
					t.Errorf("allocated %d KB", used>>10)
				}
				server.WantClosed(t)
			})
		}
	}
}

// A response that arrives one byte at a time must end at the deadline of the request.
func TestSlowResponseEndsAtDeadline(t *testing.T) {
	faults := map[string]flood.Fault{
		"head":  flood.Slow("HTTP/1.1 200 OK\r\nX-Filler: "),
		"body":  flood.Slow("HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n"),
		"chunk": flood.Slow("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;"),
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			server := flood.Serve(t, fault)
			p := newPool(t)
			ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
			defer cancel()
			started := time.Now()
			_, err := p.Do(ctx, server.Addr(), &httpc.Request{Method: "GET", Target: "/x", Host: "h", MaxBuffer: maxBuffer})
			var lost *httpc.NoResponseError
			if !errors.As(err, &lost) || !errors.Is(lost.Err, context.DeadlineExceeded) {
				t.Errorf("error %v", err)
			}
			if elapsed := time.Since(started); elapsed > 2*time.Second {
				t.Errorf("took %s", elapsed)
			}
			server.WantClosed(t)
		})
	}
}
