package front_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"
)

// A request that the end of the daemon cut was logged as one whose caller had left.
func TestCutOfAStopIsLoggedAsGone(t *testing.T) {
	cl := newCluster(t, viewRoute)
	source, target := cl.add("dues"), cl.add("plots")
	target.setHandler(func(w net.Conn, r *http.Request, body string) bool {
		time.Sleep(300 * time.Millisecond)
		return respondOK(w, r, body)
	})
	for _, c := range []struct {
		id, outcome string
		stop        func()
	}{
		{id: "left", outcome: "outcome=gone", stop: func() {}},
		{id: "cut", outcome: "outcome=stopped", stop: func() { source.stopsIn(50 * time.Millisecond) }},
	} {
		// The request is in flight when the stop begins.
		time.AfterFunc(30*time.Millisecond, c.stop)
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+source.outbound.String()+"/view/x", nil)
		if err != nil {
			t.Fatal(err)
		}
		req.Host = "h.example"
		req.Header.Set(testHeaders.RequestID, c.id)
		if resp, err := http.DefaultClient.Do(req); err == nil {
			_ = resp.Body.Close()
			t.Errorf("%s: status %d", c.id, resp.StatusCode)
		}
		cancel()
		time.Sleep(100 * time.Millisecond)
		if lines := cl.logLines.matching("msg=request", "request="+c.id, c.outcome); len(lines) != 1 {
			t.Errorf("%s: log lines %v", c.id, cl.logLines.matching("msg=request"))
		}
	}
	if lines := cl.logLines.matching("request=cut", "stop_left_ms=", "left_ms="); len(lines) != 1 {
		t.Errorf("the line of the cut request does not tell the time that was left: %v", lines)
	}
}
