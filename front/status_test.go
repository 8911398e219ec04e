package front_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
)

// A response with an invalid status was passed on, or a response in its body was taken for the server's.
func TestAnswerWithAnInvalidStatusIsPassedOn(t *testing.T) {
	cl := newCluster(t, viewRoute, payRoute)
	source, faulty := cl.add("dues"), cl.add("plots")
	var head string
	faulty.setHandler(func(w net.Conn, r *http.Request, _ string) bool {
		named := "T-Request: " + r.Header.Get(testHeaders.RequestID) + "\r\nT-Signature: s\r\n"
		_, _ = fmt.Fprintf(w, head, named)
		_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\n"+named+"Content-Length: 6\r\n\r\nforged")
		return false
	})
	n := 0
	for _, status := range []string{"000", "001", "099", "+20", "0", "20", "2x0", "1000", "600", "999", "101"} {
		for _, fields := range []string{"", "%s", "T-Not-Run: 1\r\n%s", "%sContent-Length: 76\r\n", "T-Not-Run: 1\r\n%sTransfer-Encoding: chunked\r\n"} {
			head = "HTTP/1.1 " + status + " X\r\n" + fields + "\r\n"
			if fields == "" {
				head = "HTTP/1.1 " + status + " X\r\n\r\n%.0s"
			}
			for _, path := range []string{"/view/x", "/pay/x"} {
				n++
				if got := source.request("GET", path, fmt.Sprintf("r%d", n), ""); got.status != http.StatusBadGateway {
					t.Errorf("%q to %s: status %d with body %q", head, path, got.status, got.body)
				}
			}
		}
	}
	if lines := cl.logLines.matching("answer of the backend server lost", "status 999"); len(lines) == 0 {
		t.Error("no log line tells the status")
	}
}

// While one server responds with an invalid status, idempotent requests are served by another.
func TestInvalidStatusFailsIdempotentRequests(t *testing.T) {
	cl := newCluster(t, viewRoute)
	source, faulty, well := cl.add("dues"), cl.add("plots"), cl.add("plots")
	faulty.setHandler(func(w net.Conn, r *http.Request, _ string) bool {
		_, _ = fmt.Fprintf(w, "HTTP/1.1 999 X\r\nT-Request: %s\r\nT-Signature: s\r\nContent-Length: 0\r\n\r\n", r.Header.Get(testHeaders.RequestID))
		return true
	})
	for n := range 20 {
		if got := source.request("GET", "/view/x", fmt.Sprintf("r%d", n), ""); got.status != http.StatusOK {
			t.Errorf("request %d: status %d", n, got.status)
		}
	}
	if faulty.runs.Load() == 0 || well.runs.Load() == 0 {
		t.Errorf("%d and %d runs", faulty.runs.Load(), well.runs.Load())
	}
}
