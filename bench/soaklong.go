package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"time"

	"sycamorespread.dev/life"
	"sycamorespread.dev/platform"
)

const (
	// longPath is the path of uploads with long bodies and long responses.
	longPath = "/view/long"
	// longBodySize and longAnswerSize exceed what a daemon buffers.
	longBodySize   = 100_000
	longAnswerSize = 300_000
	// longPieceSize is the size of a piece of a body, longPieceDelay the time between two pieces.
	longPieceSize  = 5_000
	longPieceDelay = 2 * time.Millisecond
	// longInterval is the number of requests of a caller of which one is an upload.
	longInterval = 8
	// unsoundRatio is the share of the uploads that a server answers early or breaks off.
	unsoundRatio = 0.4
	// resetDelay is the time between half of a response and the reset of its connection.
	resetDelay = 500 * time.Microsecond
)

// soakLongFaults are further faults of a soak with uploads.
var soakLongFaults = []soakFault{
	{"app-early", serverFlag(func(a *soakServer) *atomic.Bool { return &a.early })},
	{"app-half", serverFlag(func(a *soakServer) *atomic.Bool { return &a.halving })},
	{"app-early", serverFlag(func(a *soakServer) *atomic.Bool { return &a.early })},
	{"app-half", serverFlag(func(a *soakServer) *atomic.Bool { return &a.halving })},
	{"app-foreign", reportAsStranger},
	{"app-foreign", reportAsStranger},
}

// longText returns text of a length that differs for each request and in each part.
func longText(kind, request string, size int) []byte {
	var b bytes.Buffer
	for i := 0; b.Len() < size; i++ {
		fmt.Fprintf(&b, "%s of %s, line %d\n", kind, request, i)
	}
	return b.Bytes()[:size]
}

// pacedBody reads a body in pieces with delays. Its length is not announced, so it is sent in chunks.
type pacedBody struct {
	r io.Reader
}

// Read implements io.Reader.
func (p pacedBody) Read(b []byte) (int, error) {
	time.Sleep(longPieceDelay)
	return p.r.Read(b[:min(len(b), longPieceSize)])
}

// upload sends a long body and checks the response.
func (s *soak) upload(ctx context.Context, h *http.Client, to netip.AddrPort, id string) callResult {
	return s.sendBody(ctx, h, to, longPath, id, pacedBody{bytes.NewReader(longText("body", id, longBodySize))})
}

// serveLong answers an upload: after its body, before it, or in half.
func (a *soakServer) serveLong(w http.ResponseWriter, r *http.Request, request string) {
	answer := longText("answer", request, longAnswerSize)
	w.Header().Set(a.headers.Signature, "sig-"+request)
	unsound := rand.Float64() < unsoundRatio
	if unsound && a.halving.Load() {
		a.breakOff(w, request, answer)
		return
	}
	early := unsound && a.early.Load()
	write := func() {
		a.s.recordAnswer(request, http.StatusOK)
		w.Header().Set("Content-Length", fmt.Sprint(len(answer)))
		_, _ = w.Write(answer)
	}
	if early {
		c := http.NewResponseController(w)
		// Without full duplex, net/http would read the body before it sends the response.
		_ = c.EnableFullDuplex()
		write()
		_ = c.Flush()
	}
	body, err := io.ReadAll(r.Body)
	if err == nil && !bytes.Equal(body, longText("body", request, longBodySize)) {
		a.s.recordViolation("upload", request, fmt.Sprintf("%d of %d bytes arrived as a complete body, early=%t", len(body), longBodySize, early))
	}
	if err == nil && !early {
		write()
	}
}

// breakOff sends half of a response without a length and resets the connection.
func (a *soakServer) breakOff(w http.ResponseWriter, request string, answer []byte) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: sig\r\nConnection: close\r\n\r\n%s", a.headers.RequestID, request, a.headers.Signature, answer[:len(answer)/2])
	time.Sleep(resetDelay)
	if u, ok := c.(*unsoundConn); ok {
		resetConn(u.Conn)
	}
}

// reportAsStranger sends a heartbeat of another writer for the server of n, which must not be
// acknowledged.
func reportAsStranger(ctx context.Context, s *soak, n *soakInstance, _ time.Duration) {
	r := life.Report{
		Instance: "i-stranger", StartedAt: time.Now(), Sequence: 1, Addr: n.serverProxyAddr,
		Service: "stranger", Software: "v1", Zone: n.zone, Slots: soakSlots, Draining: rand.IntN(2) == 0,
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	// The daemon may be away.
	if status, err := platform.SendHeartbeat(ctx, http.DefaultClient, n.controlAddr, r); err == nil && status == http.StatusOK {
		s.recordViolation("foreign", n.id, "acknowledged a heartbeat of a service that no policy names")
	}
}

// expectedBody returns the complete body of the response to a request of a caller.
func expectedBody(id string, long bool) string {
	if long {
		return string(longText("answer", id, longAnswerSize))
	}
	return responseBody(id, []byte("body of "+id))
}

// shortened returns a response body for the output.
func shortened(body string) string {
	const most = 80
	if len(body) <= most {
		return body
	}
	return fmt.Sprintf("%s... (%d bytes)", strings.ToValidUTF8(body[:most], "?"), len(body))
}
