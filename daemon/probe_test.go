package daemon_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"sycamorespread.dev/platform"
)

// serveRaw calls handle with each request on each connection to a new address on the host of n. first is
// set for the first request on its connection.
func (n *httpNode) serveRaw(handle func(w io.Writer, r *http.Request, first bool)) {
	l, err := net.Listen("tcp", netip.AddrPortFrom(n.host, 0).String())
	if err != nil {
		n.t.Fatal(err)
	}
	n.t.Cleanup(func() { _ = l.Close() })
	n.serverAddr = l.Addr().String()
	n.g.Go(func() error {
		for {
			c, err := l.Accept()
			if err != nil {
				return nil
			}
			n.t.Cleanup(func() { _ = c.Close() })
			n.g.Go(func() error {
				br := bufio.NewReader(c)
				for first := true; ; first = false {
					r, err := http.ReadRequest(br)
					if err != nil {
						return nil
					}
					_, _ = io.Copy(io.Discard, r.Body)
					handle(c, r, first)
				}
			})
		}
	})
}

// A copy of a response to a request was taken for a health check's, and the server for one that leaves.
func TestResponseToARequestIsTakenForAHealthCheck(t *testing.T) {
	h := platform.Headers()
	head := func(status int, fields string) string {
		return fmt.Sprintf("HTTP/1.1 %d X\r\n%s: i-two-1\r\n%s", status, h.Instance, fields)
	}
	load := h.Load + ": 0,0,4\r\n"
	earlier := head(http.StatusOK, load+h.RequestID+": earlier\r\n"+h.Signature+": s\r\n"+h.Leaving+": 1\r\nContent-Length: 4\r\n\r\nbody")
	s := newHTTPCluster(t)
	s.configure(7, "two")
	one, two := s.add("one"), s.add("two")
	var checks atomic.Int64
	two.serveRaw(func(w io.Writer, r *http.Request, first bool) {
		if r.URL.Path != "/health" {
			_, _ = io.WriteString(w, head(http.StatusOK, load+h.RequestID+": "+r.Header.Get(h.RequestID)+"\r\n"+h.Signature+": s\r\nContent-Length: 8\r\n\r\nfrom two"))
			return
		}
		if !first {
			_, _ = io.WriteString(w, earlier)
		}
		status := http.StatusOK
		if checks.Add(1) == 1 {
			status = http.StatusServiceUnavailable
		}
		_, _ = io.WriteString(w, head(status, load+"Content-Length: 0\r\n\r\n"))
	})
	two.restart()
	s.awaitServed(5*time.Second, one, "two")
}

// A number of slots out of range was taken from a health check; other daemons drop an entry with it.
func TestOddSlotsOfAHealthCheckAreBelieved(t *testing.T) {
	h := platform.Headers()
	s := newHTTPCluster(t)
	s.configure(7, "two")
	one, two := s.add("one"), s.add("two")
	var checks atomic.Int64
	two.serveRaw(func(w io.Writer, r *http.Request, _ bool) {
		if r.URL.Path != "/health" {
			_, _ = fmt.Fprintf(w, "HTTP/1.1 200 X\r\n%s: %s\r\n%s: s\r\nContent-Length: 8\r\n\r\nfrom two", h.RequestID, r.Header.Get(h.RequestID), h.Signature)
			return
		}
		slots := "9000000000000000000"
		if checks.Add(1) > 1 {
			slots = "4"
		}
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 X\r\n%s: i-two-1\r\n%s: 0,0,%s\r\nContent-Length: 0\r\n\r\n", h.Instance, h.Load, slots)
	})
	two.restart()
	s.awaitServed(5*time.Second, one, "two")
}
