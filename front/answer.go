package front

import (
	"io"
	"net/http"
	"strconv"
	"time"
)

// outcome tells what became of a request at an instance.
type outcome int

const (
	// answered is a request that the backend server ran and answered whole.
	answered outcome = iota
	// notRun is a request that the backend server did not run and never will.
	notRun
	// unknown is a request that may have run.
	unknown
)

// String returns the name on the wire between Fronts and in logs.
func (o outcome) String() string {
	return [...]string{"answered", "notrun", "unknown"}[o]
}

// Reasons why a request was not answered by a backend server.
const (
	whyShed       = "shed"       // the queue of the instance is full, or the level is below the key
	whyLeaving    = "leaving"    // the backend server leaves
	whyDown       = "down"       // the backend server cannot be reached
	whyMoved      = "moved"      // another service is at the instance
	whyRefused    = "refused"    // the backend server refused the request
	whyLate       = "late"       // too little time is left
	whyDial       = "dial"       // the instance cannot be reached
	whySilent     = "silent"     // the instance neither answered nor could be reached
	whyLost       = "lost"       // the answer did not come whole
	whyTimeout    = "timeout"    // no answer came in time
	whyGone       = "gone"       // the caller left
	whyQuarantine = "quarantine" // the request crashes backend servers
	whyNoServer   = "noserver"   // no instance of the service is known
	whyCrash      = "crash"      // the backend server crashed
)

// answer is the result of one send.
type answer struct {
	outcome outcome
	why     string
	status  int
	header  http.Header
	body    []byte
	// rest is the body of a large answer.
	rest   io.Reader
	length int64
	close  func()

	// levels holds the level of each route that the instance serves.
	levels levels
	load   load
	// waited is the time in the queue of the instance, ran the time at the backend server.
	waited, ran time.Duration
	// instance is the backend server that answered.
	instance string
}

// load is what an instance has in progress.
type load struct {
	running, queued, limit int
}

func refusal(why string) *answer {
	return &answer{outcome: notRun, why: why}
}

func lost(why string) *answer {
	return &answer{outcome: unknown, why: why}
}

// done frees the connection of an answer.
func (a *answer) done() {
	if a.close != nil {
		a.close()
	}
}

// write sends an answer of a backend server to a caller. A body that is not
// whole ends the connection, so that it does not look whole.
func (a *answer) write(w http.ResponseWriter) {
	defer a.done()
	h := w.Header()
	for name, values := range a.header {
		h[name] = values
	}
	if h["Content-Type"] == nil {
		// An empty list keeps net/http from guessing one.
		h["Content-Type"] = nil
	}
	switch {
	case a.rest == nil:
		h.Set("Content-Length", strconv.Itoa(len(a.body)))
	case a.length >= 0:
		h.Set("Content-Length", strconv.FormatInt(a.length, 10))
	}
	w.WriteHeader(a.status)
	if a.rest == nil {
		// The caller has left when this fails.
		_, _ = w.Write(a.body)
		return
	}
	if _, err := io.Copy(w, a.rest); err != nil {
		panic(http.ErrAbortHandler)
	}
}
