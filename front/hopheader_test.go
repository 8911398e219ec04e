package front_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
)

// hopRequest sends a request to the inbound side of an instance with the given flags, and returns
// the header of the response.
func hopRequest(t *testing.T, i *instance, flags int) http.Header {
	t.Helper()
	return hopRequestWithNotice(t, i, flags, "")
}

// hopRequestWithNotice adds what the sender knows of the backend server of the instance.
func hopRequestWithNotice(t *testing.T, i *instance, flags int, notice string) http.Header {
	t.Helper()
	if notice != "" {
		notice = "Syca-Notice: " + notice + "\r\n"
	}
	c, err := net.Dial("tcp", i.inbound.String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_, err = fmt.Fprintf(c, "GET /view/x HTTP/1.1\r\nHost: h.example\r\nT-Request: r1\r\nSyca-Hop: plots|view|dues|0|1|1000000|0|%d\r\n%s\r\n", flags, notice)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK || resp.Header.Get(testHeaders.Signature) == "" {
		t.Fatalf("response %d %v", resp.StatusCode, resp.Header)
	}
	return resp.Header
}

// Traffic between zones is expensive. A response between Fronts omits what the sender knows or
// doesn't use, unless the sender is of a version that doesn't add the request ID to the response.
func TestHopResponseOmitsWhatTheSenderKnows(t *testing.T) {
	cl := newCluster(t, viewRoute)
	target := cl.add("plots")
	target.setHandler(func(w net.Conn, r *http.Request, _ string) bool {
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nT-Request: %s\r\nT-Signature: s\r\nT-Load: 3,0,8\r\nContent-Length: 0\r\n\r\n", r.Header.Get(testHeaders.RequestID))
		return true
	})
	const idempotent, restoresID = 1, 8
	h := hopRequest(t, target, idempotent|restoresID)
	if h.Get(testHeaders.RequestID) != "" || h.Get(testHeaders.Load) != "" {
		t.Errorf("header %v", h)
	}
	if h := hopRequest(t, target, idempotent); h.Get(testHeaders.RequestID) != "r1" {
		t.Errorf("header for a sender of an earlier version %v", h)
	}
}

// What the ingress sets anew is not sent between Fronts, and the caller gets its request ID back.
func TestCallerGetsItsRequestID(t *testing.T) {
	cl := newCluster(t, viewRoute)
	source, target := cl.add("dues"), cl.add("plots")
	got := source.request("GET", "/view/x", "r1", "")
	if got.status != http.StatusOK || len(got.header.Values(testHeaders.RequestID)) != 1 || got.header.Get(testHeaders.RequestID) != "r1" {
		t.Errorf("response %+v", got)
	}
	if received := target.requests()[0].Header; len(received.Values(testHeaders.TimeLeft)) != 1 || received.Get(testHeaders.OriginService) != "dues" {
		t.Errorf("header received by the server %v", received)
	}
}
