package front_test

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"
)

func TestInstanceThatRejectsAllAsLateKeepsItsTraffic(t *testing.T) {
	cl := newCluster(t, viewRoute)
	source, slow, fast := cl.add("dues"), cl.add("plots"), cl.add("plots")
	slow.setHandler(func(w net.Conn, r *http.Request, body string) bool {
		time.Sleep(500 * time.Millisecond)
		return respondOK(w, r, body)
	})
	// The estimated run time of the slow instance exceeds the time that the callers below have left.
	hopRequest(t, slow, idempotentFlag)
	late := 0
	const requests = 150
	for n := range requests {
		c, err := net.Dial("tcp", source.outbound.String())
		if err != nil {
			t.Fatal(err)
		}
		got := send(c, fmt.Sprintf("GET /view/x HTTP/1.1\r\nHost: h.example\r\nT-Request: v%d\r\nT-Left: 250\r\n\r\n", n))
		_ = c.Close()
		if got.status == 503 {
			late++
		}
	}
	if lines := cl.logLines.matching("outcome=late", "required_ms=", "left_ms=", "samples=1"); len(lines) == 0 {
		t.Fatal("the slow instance rejected no request as late")
	}
	if late > requests/5 {
		t.Errorf("%d of %d requests were rejected as late, %d ran elsewhere", late, requests, fast.runs.Load())
	}
}
