package front_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// A response that was cut on a connection that stayed open was filled by a copy of an earlier one.
func TestCutResponseIsFilledByAnother(t *testing.T) {
	const missing = 60
	for _, size := range []int{200, 600 << 10} {
		for _, route := range []string{"view", "pay"} {
			for _, unsound := range []bool{false, true} {
				for _, pieces := range []int{1, 3} {
					t.Run(fmt.Sprintf("%d bytes, %s, known as unsound %t, %d pieces", size, route, unsound, pieces), func(t *testing.T) {
						t.Parallel()
						cl := newCluster(t, viewRoute, payRoute)
						source, target := cl.add("dues"), cl.add("plots")
						body := strings.Repeat("b", size)
						head := "HTTP/1.1 200 OK\r\nT-Request: %s\r\nT-Signature: s\r\nContent-Length: %d\r\n\r\n%s"
						var used sync.Map
						target.setHandler(func(w net.Conn, r *http.Request, _ string) bool {
							id := r.Header.Get(testHeaders.RequestID)
							if _, again := used.LoadOrStore(w, true); !again {
								_, _ = fmt.Fprintf(w, head, id, size, body)
								return true
							}
							_, _ = fmt.Fprintf(w, head, id, size, body[missing:])
							time.Sleep(5 * time.Millisecond)
							// The earlier response is longer than what is missing, or fills it exactly.
							earlier := fmt.Sprintf(head, "earlier", 100, strings.Repeat("e", 100))
							if unsound {
								earlier = earlier[:missing]
							}
							for n := range pieces {
								from, to := n*len(earlier)/pieces, (n+1)*len(earlier)/pieces
								_, _ = io.WriteString(w, earlier[from:to])
								time.Sleep(time.Millisecond)
							}
							return true
						})
						if unsound {
							makeUnsound(t, source, target)
						}
						for n := range 8 {
							got := source.request("POST", "/"+route+"/x", fmt.Sprintf("r%d", n), "x")
							if got.err == nil && got.status == 200 && got.body != body {
								t.Errorf("request %d got a body that ends in %q", n, got.body[size-missing:])
							}
						}
					})
				}
			}
		}
	}
}

// makeUnsound lets a server send bytes that belong to no request.
func makeUnsound(t *testing.T, source, target *instance) {
	t.Helper()
	handler := target.handler
	target.setHandler(func(w net.Conn, r *http.Request, body string) bool {
		respond(w, r, 200, body)
		_, _ = io.WriteString(w, "stray")
		return true
	})
	for n := range 2 {
		if got := source.request("GET", "/view/x", fmt.Sprintf("u%d", n), ""); got.status != 200 {
			t.Fatalf("%+v", got)
		}
		time.Sleep(2 * time.Millisecond)
	}
	target.setHandler(handler)
}
