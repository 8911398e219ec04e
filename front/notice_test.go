package front_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"sycamorespread.dev/front"
)

// respondWithLimit returns a handler whose responses name a limit, none if it is
// empty.
func respondWithLimit(limit string) func(w net.Conn, r *http.Request, body string) bool {
	return func(w net.Conn, r *http.Request, _ string) bool {
		field := ""
		if limit != "" {
			field = "T-Limit: " + limit + "\r\n"
		}
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nT-Request: %s\r\nT-Signature: s\r\n%sContent-Length: 0\r\n\r\n", r.Header.Get(testHeaders.RequestID), field)
		return true
	}
}

const idempotentFlag = 1

func TestRestartedDaemonForgetsTheLimit(t *testing.T) {
	cl := newCluster(t, viewRoute)
	target := cl.add("plots")
	limitAtRun := 0.0
	target.setHandler(func(w net.Conn, r *http.Request, body string) bool {
		limitAtRun = target.gate.RateLimit()
		return respondWithLimit("20")(w, r, body)
	})
	notice := "s-" + target.id + "|1000000|20|0"
	h := hopRequestWithNotice(t, target, idempotentFlag, notice)
	if limitAtRun != 20 {
		t.Errorf("limit %g at the first run after a peer told it", limitAtRun)
	}
	if got := h.Get("Syca-Notice"); got != notice {
		t.Errorf("notice in the response %q, want %q", got, notice)
	}
}

func TestNoticeOfAnotherServerLimitsThisOne(t *testing.T) {
	for _, notice := range []string{"s-other|1000000|20|1", "", "x", "s-a|1|2|3|4", "s-a|x|20|0", "s-a|1000000|nan|0", "s-a|1000000|-1|0"} {
		cl := newCluster(t, viewRoute)
		target := cl.add("plots")
		hopRequestWithNotice(t, target, idempotentFlag, strings.Replace(notice, "s-a", "s-"+target.id, 1))
		if got := target.gate.RateLimit(); got != 0 {
			t.Errorf("notice %q: limit %g", notice, got)
		}
	}
}

// A daemon that told the limit must not restore it after it has ended.
func TestEndedLimitIsRestoredByAPeer(t *testing.T) {
	cl := newCluster(t, viewRoute)
	target := cl.add("plots")
	target.setHandler(respondWithLimit("20"))
	hopRequest(t, target, idempotentFlag)
	target.setHandler(respondWithLimit(""))
	for range 4 {
		hopRequest(t, target, idempotentFlag)
	}
	h := hopRequestWithNotice(t, target, idempotentFlag, "s-"+target.id+"|1000000|20|0")
	if got := target.gate.RateLimit(); got != 0 || h.Get("Syca-Notice") != "" {
		t.Errorf("limit %g, notice %q", got, h.Get("Syca-Notice"))
	}
}

func TestHealthCheckEndsTheLimit(t *testing.T) {
	cl := newCluster(t, viewRoute)
	target := cl.add("plots")
	target.ObserveServer(front.Observation{Server: target.keeper.Server(), Header: http.Header{}, SentAt: time.Now()})
	limitAtRun := 0.0
	target.setHandler(func(w net.Conn, r *http.Request, body string) bool {
		limitAtRun = target.gate.RateLimit()
		return respondWithLimit("20")(w, r, body)
	})
	hopRequestWithNotice(t, target, idempotentFlag, "s-"+target.id+"|1000000|20|0")
	if limitAtRun != 20 {
		t.Errorf("limit %g at the first run after a health check that does not name it", limitAtRun)
	}
}

func TestRefusalEndsTheLimit(t *testing.T) {
	cl := newCluster(t, viewRoute)
	source, target := cl.add("dues"), cl.add("plots")
	target.setHandler(respondWithLimit("20"))
	if got := source.request("GET", "/view/x", "r1", ""); got.status != 200 {
		t.Fatalf("response %+v", got)
	}
	var refused atomic.Int64
	target.setHandler(func(w net.Conn, r *http.Request, _ string) bool {
		refused.Add(1)
		refuse(w, r.Header.Get(testHeaders.RequestID))
		return true
	})
	for n := 0; refused.Load() < 6; n++ {
		source.request("GET", "/view/x", fmt.Sprintf("refused-%d", n), "")
		if got := target.gate.RateLimit(); got != 20 {
			t.Fatalf("limit %g after %d refusals that do not name it", got, refused.Load())
		}
	}
}

func TestCallerTellsTheDaemonWhatItKnows(t *testing.T) {
	cl := newCluster(t, viewRoute)
	source, target := cl.add("dues"), cl.add("plots")
	target.setHandler(respondWithLimit("20"))
	if got := source.request("GET", "/view/x", "r1", ""); got.status != 200 || got.header.Get(testHeaders.Limit) != "20" {
		t.Fatalf("response %+v", got)
	}
	// The second request reaches a process that knows nothing.
	restarted := cl.add("plots")
	restarted.keeper.MarkDown("s-" + restarted.id)
	limit := 0.0
	cl.redirect(source, target.id, restarted.inbound)
	restarted.keeper.HandleReport(newServerReport(restarted, "s-"+target.id, 2))
	restarted.setHandler(func(w net.Conn, r *http.Request, body string) bool {
		limit = restarted.gate.RateLimit()
		return respondWithLimit("20")(w, r, body)
	})
	if got := source.request("GET", "/view/x", "r2", ""); got.status != 200 {
		t.Fatalf("response %+v", got)
	}
	if limit != 20 {
		t.Errorf("limit %g at the first run after the restart", limit)
	}
}
