package front_test

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	earlyPieces    = 20
	earlyPieceSize = 10_000
	earlyPause     = 5 * time.Millisecond
)

// receivedBody is a request body as a server read it.
type receivedBody struct {
	body []byte
	err  error
}

// answerEarly makes the server of i answer each request before it reads the body, and read on.
func answerEarly(t *testing.T, i *instance, answer string) <-chan receivedBody {
	t.Helper()
	_ = i.listener.Close()
	l, err := net.Listen("tcp", i.addr().String())
	if err != nil {
		t.Fatal(err)
	}
	received := make(chan receivedBody, 100)
	var g errgroup.Group
	t.Cleanup(func() {
		_ = l.Close()
		_ = g.Wait()
	})
	serve := func(c net.Conn) error {
		defer func() { _ = c.Close() }()
		for br := bufio.NewReader(c); ; {
			r, err := http.ReadRequest(br)
			if err != nil {
				return nil
			}
			respond(c, r, 200, answer)
			b, err := io.ReadAll(r.Body)
			received <- receivedBody{body: b, err: err}
			if err != nil {
				return nil
			}
		}
	}
	g.Go(func() error {
		for {
			c, err := l.Accept()
			if err != nil {
				return nil
			}
			g.Go(func() error { return serve(c) })
		}
	})
	return received
}

// uploadPieces sends a chunked request piece by piece and reads the response meanwhile.
func uploadPieces(i *instance, id string, pieces [][]byte) result {
	c, err := net.Dial("tcp", i.outbound.String())
	if err != nil {
		return result{err: err}
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	var g errgroup.Group
	g.Go(func() error {
		_, _ = fmt.Fprintf(c, "POST /view/x HTTP/1.1\r\nHost: h.example\r\nT-Request: %s\r\nT-Left: 3000\r\nTransfer-Encoding: chunked\r\n\r\n", id)
		w := httputil.NewChunkedWriter(c)
		for _, p := range pieces {
			if _, err := w.Write(p); err != nil {
				return nil
			}
			time.Sleep(earlyPause)
		}
		_ = w.Close()
		_, _ = io.WriteString(c, "\r\n")
		return nil
	})
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		_ = g.Wait()
		return result{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	_ = c.Close()
	_ = g.Wait()
	return result{status: resp.StatusCode, header: resp.Header, body: string(b), err: err}
}

// net/http read and dropped parts of a body that was still being sent to a server that answered early.
func TestPartsOfABodyMissingAfterAnEarlyAnswer(t *testing.T) {
	for name, size := range map[string]int{"streamed": 400_000, "buffered": 1000} {
		t.Run(name, func(t *testing.T) {
			cl := newCluster(t, viewRoute)
			source, target := cl.add("dues"), cl.add("plots")
			answer := strings.Repeat("y", size)
			received := answerEarly(t, target, answer)
			var pieces [][]byte
			for n := range earlyPieces {
				pieces = append(pieces, bytes.Repeat([]byte{byte('a' + n)}, earlyPieceSize))
			}
			sent := bytes.Join(pieces, nil)
			for n := range 10 {
				got := uploadPieces(source, fmt.Sprint("r", n), pieces)
				if got.status != 200 || got.body != answer || got.err != nil {
					t.Errorf("status %d, %d bytes, error %v", got.status, len(got.body), got.err)
				}
				if r := <-received; r.err == nil && !bytes.Equal(r.body, sent) {
					t.Errorf("the server read %d of %d bytes as a complete body", len(r.body), len(sent))
				}
			}
		})
	}
}

// A response of the daemon itself waited until the caller had sent its body.
func TestStalledBodyDelaysTheResponse(t *testing.T) {
	cl := newCluster(t, viewRoute)
	source := cl.add("dues")
	c, err := net.Dial("tcp", source.outbound.String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetReadDeadline(time.Now().Add(3 * time.Second))
	got := send(c, "POST /none/x HTTP/1.1\r\nHost: h.example\r\nT-Request: r1\r\nT-Left: 3000\r\nContent-Length: 100\r\n\r\nhalf")
	if got.status != http.StatusNotFound {
		t.Errorf("response %+v", got)
	}
	if _, err := c.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("the connection stays open: %v", err)
	}
}

// A connection carries further requests after a long body that was read to its end.
func TestLongBodyEndsTheConnection(t *testing.T) {
	cl := newCluster(t, viewRoute)
	source := cl.add("dues")
	cl.add("plots")
	c, err := net.Dial("tcp", source.outbound.String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	body := strings.Repeat("b", 200_000)
	for n := range 3 {
		for _, raw := range []string{
			fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body),
			fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body),
		} {
			got := send(c, fmt.Sprintf("POST /view/x HTTP/1.1\r\nHost: h.example\r\nT-Request: r%d\r\nT-Left: 3000\r\n", n)+raw)
			if got.status != http.StatusOK || !strings.HasSuffix(got.body, body) {
				t.Fatalf("status %d, %d bytes, error %v", got.status, len(got.body), got.err)
			}
		}
	}
}
