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
	reasonShed         = "shed"       // the queue of the instance is full, or the level is below the key
	reasonLeaving      = "leaving"    // the backend server leaves
	reasonDown         = "down"       // the backend server cannot be reached
	reasonMoved        = "moved"      // another service is at the instance
	reasonRejected     = "refused"    // the backend server refused the request
	reasonTooLate      = "late"       // too little time is left
	reasonDial         = "dial"       // the instance cannot be reached
	reasonUnresponsive = "silent"     // the instance neither answered nor could be reached
	reasonLost         = "lost"       // the answer did not come whole
	reasonTimeout      = "timeout"    // no answer came in time
	reasonCanceled     = "gone"       // the caller left
	reasonQuarantined  = "quarantine" // the request crashes backend servers
	reasonNoInstance   = "noserver"   // no instance of the service is known
	reasonCrash        = "crash"      // the backend server crashed
)

// response is the result of one send.
type response struct {
	outcome outcome
	reason  string
	status  int
	header  http.Header
	body    []byte
	// stream is the body of a large answer.
	stream io.Reader
	length int64
	close  func()

	// levels holds the level of each route that the instance serves.
	levels levels
	load   load
	// queueTime is the time in the queue of the instance, ran the time at the backend server.
	queueTime, runTime time.Duration
	// instance is the backend server that answered.
	instance string
}

// load is what an instance has in progress.
type load struct {
	running, queued, limit int
}

func notRunResponse(reason string) *response {
	return &response{outcome: notRun, reason: reason}
}

func unknownResponse(reason string) *response {
	return &response{outcome: unknown, reason: reason}
}

// release frees the connection of an answer.
func (a *response) release() {
	if a.close != nil {
		a.close()
	}
}

// write sends an answer of a backend server to a caller. A body that is not
// whole ends the connection, so that it does not look whole.
func (a *response) write(w http.ResponseWriter) {
	defer a.release()
	h := w.Header()
	for name, values := range a.header {
		h[name] = values
	}
	if h["Content-Type"] == nil {
		// An empty list keeps net/http from guessing one.
		h["Content-Type"] = nil
	}
	switch {
	case a.stream == nil:
		h.Set("Content-Length", strconv.Itoa(len(a.body)))
	case a.length >= 0:
		h.Set("Content-Length", strconv.FormatInt(a.length, 10))
	}
	w.WriteHeader(a.status)
	if a.stream == nil {
		// The caller has left when this fails.
		_, _ = w.Write(a.body)
		return
	}
	if _, err := io.Copy(w, a.stream); err != nil {
		panic(http.ErrAbortHandler)
	}
}
