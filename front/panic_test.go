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

// A panic over one request ends that request with 500 and gives back its slot
// and its place in the load of the instance; the others are served.
func TestOneRequestDoesNotTakeASlotWithIt(t *testing.T) {
	r := newCluster(t, view)
	entry, far := r.add("dues"), r.add("plots")
	log := logrus.New()
	log.SetOutput(io.Discard)
	g := guard.New(logrus.NewEntry(log), nil)
	far.OnServerDown = func(string) { panic("state that is not known") }
	far.in = r.serve(g.Handler("ingress", far.Inbound()))
	r.syncTables()
	far.setHandler(misdirected)
	for range 2 * r.slots {
		if got := entry.request("POST", "/view/x", "p", ""); got.status != 502 {
			t.Fatalf("answer %+v", got)
		}
		time.Sleep(2 * time.Millisecond)
	}
	if s := far.gate.Stats(); s.Inflight != 0 || s.Queued != 0 || far.Inflight() != 0 {
		t.Errorf("gate %+v, in flight %d", s, far.Inflight())
	}
}

func misdirected(w net.Conn, r *http.Request, _ string) bool {
	respond(w, r, http.StatusMisdirectedRequest, "")
	return true
}
