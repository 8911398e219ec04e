package daemon_test

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"sycamorespread.dev/life"
	"sycamorespread.dev/platform"
)

// reportAs sends a heartbeat for the server of n that names a service and has a later start time.
func (n *httpNode) reportAs(id, service string, startedAt time.Time, draining bool) int {
	status, err := platform.SendHeartbeat(context.Background(), http.DefaultClient, netip.MustParseAddrPort(n.controlAddr), life.Report{
		Instance: id, StartedAt: startedAt, Sequence: 1, Addr: netip.MustParseAddrPort(n.serverAddr),
		Service: service, Software: "v1", Zone: n.zone, Slots: 4, Draining: draining,
	})
	if err != nil {
		n.t.Fatal(err)
	}
	return status
}

// A report of an unknown service displaced the backend server and became the calling service.
func TestHeartbeatOfAnUnknownServiceDisplacesTheServer(t *testing.T) {
	for _, draining := range []bool{false, true} {
		_, one, two := newPair(t)
		two.setSlots(4)
		if status := two.reportAs("i-foreign", "search", time.Now(), draining); status != http.StatusBadRequest {
			t.Errorf("the heartbeat is acknowledged with status %d", status)
		}
		if status := two.heartbeat(2, 4, false); status != http.StatusOK {
			t.Errorf("a later heartbeat of the server: status %d", status)
		}
		for i := range 20 {
			if status, _, body := one.request(fmt.Sprint("after-", i)); status != http.StatusOK {
				t.Fatalf("status %d %s", status, body)
			}
		}
	}
}

// A server that reported before the policy that names its service must serve with that policy.
func TestServerOfAFutureServiceIsForgotten(t *testing.T) {
	s, one, two := newPair(t)
	two.setSlots(4)
	if status := two.reportAs("i-"+two.id, "three", time.Now(), false); status == http.StatusOK {
		t.Errorf("a heartbeat of a service that no policy names is acknowledged")
	}
	if status, _, body := one.request("before"); status != http.StatusOK || !strings.HasPrefix(body, "from two") {
		t.Errorf("status %d %s", status, body)
	}
	s.configure(9, "three")
	s.eventually(2*time.Second, "a request is served by the new service", func() bool {
		status, _, _ := one.request(fmt.Sprint("q", time.Now().UnixNano()))
		return status == http.StatusOK && len(two.log.Load().AllEntries()) > 0 && two.serverService() == "three"
	})
}

// serverService returns the service that the daemon logged last for its server.
func (n *httpNode) serverService() string {
	service := ""
	for _, e := range n.log.Load().AllEntries() {
		if e.Message == "backend server" {
			service = fmt.Sprint(e.Data["service"])
		}
	}
	return service
}
