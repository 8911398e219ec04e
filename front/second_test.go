package front_test

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// A backend server sends an answer a second time when the connection serves
// the next request already. The caller of that one gets its own answer, though
// it must not be sent again.
func TestSecondAnswerOnAConnectionInUse(t *testing.T) {
	for _, packet := range []string{"apart", "with the next answer"} {
		t.Run(packet, func(t *testing.T) {
			r := newCluster(t, view, pay)
			entry, far := r.add("dues"), r.add("plots")
			var last atomic.Pointer[http.Request]
			far.setHandler(func(w net.Conn, r *http.Request, body string) bool {
				b := new(writeBuffer)
				if old := last.Swap(r); old != nil {
					respond(b, old, 200, "run of "+old.URL.Path+" ")
				}
				if packet == "apart" {
					b.flush(w)
					time.Sleep(20 * time.Millisecond)
				}
				respond(b, r, 200, "run of "+r.URL.Path+" "+body)
				b.flush(w)
				return true
			})
			for n := range 12 {
				id, path := fmt.Sprintf("r%d", n), fmt.Sprintf("/pay/%d", n)
				got := entry.request("POST", path, id, "x")
				if got.status != 200 || got.body != "run of "+path+" x" || got.header.Get(headers.RequestID) != id {
					t.Errorf("request %s got %+v", id, got)
				}
			}
			if n := far.runs.Load(); n != 12 {
				t.Errorf("12 requests ran %d times", n)
			}
		})
	}
}

// writeBuffer collects what is to be sent at once.
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
