package httpc_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"sycamorespread.dev/httpc"
)

// A response with a status that HTTP does not have was skipped like an interim one, or believed, and bytes of its body
// were taken for the final response.
func TestBodyOfAnInvalidStatusIsBelieved(t *testing.T) {
	const forged = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nforged"
	heads := map[string]string{"no length": "", "length": fmt.Sprintf("Content-Length: %d\r\n", len(forged)), "chunks": "Transfer-Encoding: chunked\r\n", "close": "Connection: close\r\n"}
	lines := []string{
		"HTTP/1.1 000 X", "HTTP/1.1 001 X", "HTTP/1.1 099 X", "HTTP/1.1 +20 X", "HTTP/1.1 -20 X", "HTTP/1.1 0 X", "HTTP/1.1 20 X", "HTTP/1.1 2x0 X", "HTTP/1.1 1000 X",
		"HTTP/1.1 600 X", "HTTP/1.1 999 X", "HTTP/1.1 101 X", "HTTP/1.1 000", "HTTP/1.1  X", "HTTP/1.1", "HTTP/2.0 200 X", "HTTP/0.9 200 X",
	}
	for _, line := range lines {
		for name, head := range heads {
			t.Run(line+" "+name, func(t *testing.T) {
				t.Parallel()
				wantNoResponse(t, line+"\r\n"+head+"\r\n"+forged)
			})
		}
	}
	for name, head := range heads {
		if name == "no length" || name == "close" {
			// The next response follows such a header by the protocol.
			continue
		}
		t.Run("interim "+name, func(t *testing.T) {
			t.Parallel()
			wantNoResponse(t, "HTTP/1.1 150 X\r\n"+head+"\r\n"+forged)
		})
	}
}

// wantNoResponse checks that the bytes are taken for no response, and that their connection is closed.
func wantNoResponse(t *testing.T, answer string) {
	closed := make(chan struct{})
	addr := serveConns(t, func(c *net.TCPConn) {
		readHead(c)
		_, _ = c.Write([]byte(answer))
		_ = c.SetReadDeadline(time.Now().Add(2 * time.Second))
		_, err := c.Read(make([]byte, 1))
		var timeout net.Error
		if !errors.As(err, &timeout) || !timeout.Timeout() {
			close(closed)
		}
	})
	p := httpc.New(httpc.Config{DialTimeout: time.Second, IdleTimeout: time.Minute, MaxIdleConns: 8, Now: time.Now})
	defer p.Close()
	resp, err := p.Do(context.Background(), addr, &httpc.Request{Method: http.MethodGet, Target: "/", Host: "h", MaxBuffer: 1 << 20})
	if err == nil {
		resp.Close()
		t.Errorf("status %d with body %q", resp.Status, resp.Body)
	}
	select {
	case <-closed:
	case <-time.After(3 * time.Second):
		t.Error("the connection is still open")
	}
}

// Interim responses without a body precede the final one.
func TestInterimResponsesAreSkipped(t *testing.T) {
	addr := serveConns(t, func(c *net.TCPConn) {
		readHead(c)
		_, _ = c.Write([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 199 X\r\nContent-Length: 0\r\n\r\nHTTP/1.1 599 X\r\nContent-Length: 4\r\n\r\nbody"))
		_, _ = c.Read(make([]byte, 1))
	})
	p := httpc.New(httpc.Config{DialTimeout: time.Second, IdleTimeout: time.Minute, MaxIdleConns: 8, Now: time.Now})
	defer p.Close()
	resp, err := p.Do(context.Background(), addr, &httpc.Request{Method: http.MethodGet, Target: "/", Host: "h", MaxBuffer: 1 << 20})
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Close()
	if resp.Status != 599 || string(resp.Body) != "body" {
		t.Errorf("status %d with body %q", resp.Status, resp.Body)
	}
}
