package front_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
)

// BenchmarkForward measures one request from a caller through two Fronts to a backend server and
// back, over persistent connections. It includes the cost of the caller and the server.
func BenchmarkForward(b *testing.B) {
	cl := newCluster(b, viewRoute)
	cl.discardLogs = true
	source := cl.add("dues")
	cl.add("plots")
	c, err := net.Dial("tcp", source.outbound.String())
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		_, err := fmt.Fprintf(c, "GET /view/x HTTP/1.1\r\nHost: h.example\r\nT-Request: r%d\r\nT-Left: 3000\r\n\r\n", n)
		if err != nil {
			b.Fatal(err)
		}
		resp, err := http.ReadResponse(br, nil)
		if err != nil || resp.StatusCode != http.StatusOK {
			b.Fatal(resp, err)
		}
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if err != nil {
			b.Fatal(err)
		}
	}
}
