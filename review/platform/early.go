package main

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	earlyUploadBytes = 200_000
	earlyAnswerBytes = 400_000
	// earlyPause paces an upload to about 0.2 s.
	earlyPause = 20 * time.Millisecond
)

// earlyAnswer uploads long bodies to servers. Some answers come before the server
// has read the body; it keeps the connection and reads on. The rest of a body
// must arrive as it was sent, or end with its connection.
func earlyAnswer(w *world) (bool, error) {
	upload, answer := pattern(earlyUploadBytes), pattern(earlyAnswerBytes)
	var whole, broken, changed atomic.Int64
	handle := func(b *backend, g *garbler, rw http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost {
			g.spoil(false)
			answerWhole(rw, pattern(5000))
			return
		}
		early := g.spoil(true)
		if early {
			// The answer does not wait for the body.
			_ = http.NewResponseController(rw).EnableFullDuplex()
			answerWhole(rw, answer)
			_ = http.NewResponseController(rw).Flush()
		}
		got, err := io.ReadAll(r.Body)
		same := bytes.Equal(got, upload)
		switch {
		case err != nil:
			broken.Add(1)
		case same:
			whole.Add(1)
		default:
			changed.Add(1)
		}
		w.logf("run request=%s server=%s early=%t: the body has %d bytes, sha256 %.8x, as sent %t, error %v", r.Header.Get(hRequestID), b.id, early, len(got), sha256.Sum256(got), same, err)
		if !early {
			answerWhole(rw, answer)
		}
	}
	m, faulty, err := w.deployUploads(handle)
	if err != nil {
		return false, err
	}
	u := &uploads{w: w, m: m, body: upload, pause: earlyPause, onAnswer: func(int, bool, []byte, error) {}}
	u.run(80, 8, 48*time.Second)
	text := fmt.Sprintf("bodies that servers read: as sent %d, visibly broken off %d, complete but not as sent %d; %s", whole.Load(), broken.Load(), changed.Load(), faulty)
	fmt.Println(text)
	w.logf("%s", text)
	return changed.Load() > 0, nil
}
