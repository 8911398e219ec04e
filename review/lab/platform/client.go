package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// clientRequest is one client attempt on a new connection.
type clientRequest struct {
	from, method, host, target, id string
	body                           []byte
	deadline                       time.Duration
	header                         []string
}

// answer is how a client attempt ended. status is 0 if the connection ended without a complete answer.
type answer struct {
	status    int
	signature string
	id        string
	body      []byte
	header    http.Header
	sentAt    time.Time
	endedAt   time.Time
	err       error
}

func (a answer) String() string {
	if a.status == 0 {
		return fmt.Sprintf("no complete answer (%v)", a.err)
	}
	return fmt.Sprintf("%d, %d bytes", a.status, len(a.body))
}

// whole reports whether the answer is a success with the server's whole body.
func (a answer) whole() bool {
	return a.status == http.StatusOK && a.signature == fmt.Sprintf("%08x", crc32.ChecksumIEEE(a.body))
}

// sendRequest sends a request on a new connection and waits for its answer until its deadline.
func sendRequest(ctx context.Context, rec *record, c clientRequest) (a answer) {
	a = answer{sentAt: time.Now()}
	defer func() {
		a.endedAt = time.Now()
		rec.add("answer to %s: %s", c.id, a)
	}()
	conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", c.from)
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = conn.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", c.method, c.target, c.host, headerID, c.id, headerDeadline, c.deadline.Milliseconds())
	for _, h := range c.header {
		b.WriteString(h + "\r\n")
	}
	if len(c.body) > 0 || c.method == http.MethodPost {
		b.WriteString("Content-Length: " + strconv.Itoa(len(c.body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(c.body)
	_ = conn.SetDeadline(time.Now().Add(c.deadline + 2*time.Second))
	rec.add("sent %s: %s %s%s to %s", c.id, c.method, c.host, c.target, c.from)
	if _, err := conn.Write(b.Bytes()); err != nil {
		a.err = err
		return a
	}
	a.read(bufio.NewReader(conn), c.method)
	return a
}

func (a *answer) read(br *bufio.Reader, method string) {
	resp, err := http.ReadResponse(br, &http.Request{Method: method})
	if err != nil {
		a.err = err
		return
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		a.err = fmt.Errorf("status %d, then %w after %d bytes", resp.StatusCode, err, len(body))
		return
	}
	a.status, a.signature, a.id, a.body, a.header = resp.StatusCode, resp.Header.Get(headerSignature), resp.Header.Get(headerID), body, resp.Header
}
