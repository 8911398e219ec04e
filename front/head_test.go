package front_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
)

// The response to a HEAD request, which announces a length without a body, was lost.
func TestResponseToHeadIsLost(t *testing.T) {
	cl := newCluster(t, viewRoute, payRoute)
	source, target := cl.add("dues"), cl.add("plots")
	for _, framing := range []string{"Content-Length: 5000", "Content-Length: 500000", "Content-Length: 0", "Transfer-Encoding: chunked", "X-None: 1"} {
		target.setHandler(func(w net.Conn, r *http.Request, _ string) bool {
			_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nT-Request: %s\r\nT-Signature: s\r\n%s\r\n\r\n", r.Header.Get(testHeaders.RequestID), framing)
			return true
		})
		for _, from := range []*instance{source, target} {
			for n, path := range []string{"view", "pay"} {
				req, err := http.NewRequest(http.MethodHead, fmt.Sprintf("http://%s/%s/x", from.outbound, path), http.NoBody)
				if err != nil {
					t.Fatal(err)
				}
				req.Host = "h.example"
				req.Header.Set(testHeaders.RequestID, fmt.Sprintf("%s-%s-%d", framing, from.id, n))
				resp, err := http.DefaultClient.Do(req)
				if err != nil {
					t.Fatal(err)
				}
				body, _ := io.ReadAll(resp.Body)
				_ = resp.Body.Close()
				want := "Content-Length: " + resp.Header.Get("Content-Length")
				if resp.StatusCode != http.StatusOK || len(body) > 0 || framing[0] == 'C' && want != framing {
					t.Errorf("%s, %s: status %d, %s, body of %d bytes", framing, path, resp.StatusCode, want, len(body))
				}
			}
		}
	}
}
