package front_test

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"sycamorespread.dev/guard"
)

// A panic in one request must release the request's slot and its share of the load of the instance,
// so that other requests are still served. The inbound side responds with status 500, the caller gets
// 502.
func TestPanicReleasesSlot(t *testing.T) {
	cl := newCluster(t, viewRoute)
	source, target := cl.add("dues"), cl.add("plots")
	log := logrus.New()
	log.SetOutput(io.Discard)
	g := guard.New(logrus.NewEntry(log), nil)
	target.OnServerDown = func(string) { panic("state that is not known") }
	target.inbound = cl.serve(g.Handler("ingress", target.Inbound()))
	cl.syncTables()
	target.setHandler(misdirected)
	for range 2 * cl.slots {
		if got := source.request("POST", "/view/x", "p", ""); got.status != 502 {
			t.Fatalf("response %+v", got)
		}
		time.Sleep(2 * time.Millisecond)
	}
	if s := target.gate.Stats(); s.Inflight != 0 || s.Queued != 0 || target.Inflight() != 0 {
		t.Errorf("gate stats %+v, %d requests in flight", s, target.Inflight())
	}
}

func misdirected(w net.Conn, r *http.Request, _ string) bool {
	respond(w, r, http.StatusMisdirectedRequest, "")
	return true
}
