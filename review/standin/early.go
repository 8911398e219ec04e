package main

import (
	"bufio"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

const (
	uploadBytes = 200_000
	answerBytes = 400_000
	// uploadPieces and uploadPause pace an upload: about 0.4 s in all.
	uploadPieces = 20
	uploadPause  = 20 * time.Millisecond
)

// earlyAnswer uploads long bodies in chunks to a server that answers before it
// has read them, keeps the connection and reads on. The rest of a body must
// arrive as it was sent, or end with its connection.
func earlyAnswer(w *world) (bool, error) {
	names := []string{"web-1", "book-1"}
	servers, err := w.deploy(names, map[string]string{"web-1": "web", "book-1": "book"},
		map[string]string{"web-1": "dk-east-a", "book-1": "dk-east-b"}, nil)
	if err != nil {
		return false, err
	}
	body := pattern(uploadBytes)
	var whole, broken, changed atomic.Int64
	servers["book-1"].raw = func(b *backend, rw http.ResponseWriter, r *http.Request) {
		if w.trouble {
			b.answerEarly(rw)
		}
		got, err := io.ReadAll(r.Body)
		same := string(got) == string(body)
		switch {
		case err != nil:
			broken.Add(1)
		case same:
			whole.Add(1)
		default:
			changed.Add(1)
		}
		w.logf("server %s read request=%s: %d bytes, sha256 %.8x, as sent %t, error %v", b.id, r.Header.Get(hRequestID), len(got), sha256.Sum256(got), same, err)
		if !w.trouble {
			b.answerEarly(rw)
		}
	}
	for range 40 {
		w.upload(servers["web-1"].m, body)
	}
	fmt.Printf("bodies that the server read: as sent %d, broken off %d, complete but changed %d\n", whole.Load(), broken.Load(), changed.Load())
	w.logf("bodies that the server read: as sent %d, broken off %d, complete but changed %d", whole.Load(), broken.Load(), changed.Load())
	return changed.Load() > 0, nil
}

// pattern returns text in which each line has its number.
func pattern(n int) []byte {
	var b strings.Builder
	for i := 0; b.Len() < n; i++ {
		fmt.Fprintf(&b, "line %06d of a long body\n", i)
	}
	return []byte(b.String()[:n])
}

// answerEarly sends a complete answer and keeps the connection.
func (b *backend) answerEarly(rw http.ResponseWriter) {
	_ = http.NewResponseController(rw).EnableFullDuplex()
	out := pattern(answerBytes)
	rw.Header().Set(hSignature, fmt.Sprintf("sig.%x", sha256.Sum256(out)))
	rw.Header().Set("Content-Length", fmt.Sprint(len(out)))
	_, _ = rw.Write(out)
	_ = http.NewResponseController(rw).Flush()
}

// upload sends a body in chunks on a new connection and reads the answer meanwhile.
func (w *world) upload(m *machine, body []byte) {
	id := w.nextID()
	c, err := net.DialTimeout("tcp", m.outbound, time.Second)
	if err != nil {
		w.logf("request=%s: %v", id, err)
		return
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	w.logf("sent request=%s to %s: POST /book/do/upload, %d bytes in chunks, sha256 %.8x", id, m.id, len(body), sha256.Sum256(body))
	go func() {
		fmt.Fprintf(c, "POST /book/do/upload HTTP/1.1\r\nHost: hulo84.example\r\n%s: %s\r\n%s: 5000\r\nTransfer-Encoding: chunked\r\n\r\n", hRequestID, id, hDeadline)
		for i := range uploadPieces {
			piece := body[i*len(body)/uploadPieces : (i+1)*len(body)/uploadPieces]
			if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(piece), piece); err != nil {
				return
			}
			time.Sleep(uploadPause)
		}
		_, _ = io.WriteString(c, "0\r\n\r\n")
	}()
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: http.MethodPost})
	if err != nil {
		w.logf("answer request=%s: none, %v", id, err)
		return
	}
	defer resp.Body.Close()
	out, err := io.ReadAll(resp.Body)
	w.logf("answer request=%s: status=%d signed=%t %d bytes, complete=%t", id, resp.StatusCode, resp.Header.Get(hSignature) != "", len(out), err == nil)
}
