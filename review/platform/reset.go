package main

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	resetUploadBytes = 2_000_000
	resetAnswerBytes = 20_000
	// resetDelay is the time from the first half of an answer to the reset.
	resetDelay = 500 * time.Microsecond
)

// resetAnswer uploads long bodies to servers. Some answers have no length, come
// before the server has read the body, and are reset halfway. Such an answer must
// not look complete to the client.
func resetAnswer(w *world) (bool, error) {
	answer := pattern(resetAnswerBytes)
	handle := func(b *backend, g *garbler, rw http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost {
			g.spoil(false)
			answerWhole(rw, pattern(5000))
			return
		}
		if g.spoil(true) {
			b.breakOff(rw, r, answer)
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		w.logf("run request=%s server=%s", r.Header.Get(hRequestID), b.id)
		answerWhole(rw, answer)
	}
	m, faulty, err := w.deployUploads(handle)
	if err != nil {
		return false, err
	}
	var whole, failed, short atomic.Int64
	u := &uploads{w: w, m: m, body: pattern(resetUploadBytes), onAnswer: func(status int, signed bool, body []byte, err error) {
		switch {
		case status != http.StatusOK || !signed || err != nil:
			failed.Add(1)
		case bytes.Equal(body, answer):
			whole.Add(1)
		default:
			short.Add(1)
		}
	}}
	u.run(240, 10, 72*time.Second)
	text := fmt.Sprintf("answers to uploads: whole %d, failed or visibly broken off %d, success with a part of the body %d; %s", whole.Load(), failed.Load(), short.Load(), faulty)
	fmt.Println(text)
	w.logf("%s", text)
	return short.Load() > 0, nil
}

// breakOff sends the first half of an answer without a length and resets the connection.
func (b *backend) breakOff(rw http.ResponseWriter, r *http.Request, body []byte) {
	id := r.Header.Get(hRequestID)
	c, _, err := rw.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer c.Close()
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: sig.%x\r\nConnection: close\r\n\r\n%s", hRequestID, id, hSignature, sha256.Sum256(body), body[:len(body)/2])
	time.Sleep(resetDelay)
	b.w.logf("run request=%s server=%s: the answer has no length and is reset after %d of %d bytes", id, b.id, len(body)/2, len(body))
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
}
