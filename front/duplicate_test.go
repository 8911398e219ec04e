package front_test

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// A backend server sends a response again while the connection already serves the next, non-idempotent
// request. The caller of that request must get its own response, and the request must run once.
func TestDuplicateResponseOnReusedConnection(t *testing.T) {
	for _, timing := range []string{"apart", "with the next response"} {
		t.Run(timing, func(t *testing.T) {
			cl := newCluster(t, viewRoute, payRoute)
			source, target := cl.add("dues"), cl.add("plots")
			var last atomic.Pointer[http.Request]
			target.setHandler(func(w net.Conn, r *http.Request, body string) bool {
				b := new(writeBuffer)
				if previous := last.Swap(r); previous != nil {
					respond(b, previous, 200, "run of "+previous.URL.Path+" ")
				}
				if timing == "apart" {
					b.flush(w)
					time.Sleep(20 * time.Millisecond)
				}
				respond(b, r, 200, "run of "+r.URL.Path+" "+body)
				b.flush(w)
				return true
			})
			for n := range 12 {
				id, path := fmt.Sprintf("r%d", n), fmt.Sprintf("/pay/%d", n)
				got := source.request("POST", path, id, "x")
				if got.status != 200 || got.body != "run of "+path+" x" || got.header.Get(testHeaders.RequestID) != id {
					t.Errorf("request %s: response %+v", id, got)
				}
			}
			if n := target.runs.Load(); n != 12 {
				t.Errorf("12 requests ran %d times", n)
			}
		})
	}
}

// writeBuffer collects bytes that are sent in one write.
type writeBuffer struct {
	b []byte
}

// Write implements io.Writer.
func (b *writeBuffer) Write(p []byte) (int, error) {
	b.b = append(b.b, p...)
	return len(p), nil
}

func (b *writeBuffer) flush(w net.Conn) {
	_, _ = w.Write(b.b)
	b.b = nil
}
