package front

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"sycamorespread.dev/admit"
)

// outcome is the result of sending a request to an instance.
type outcome int

const (
	// answered means that the backend server ran the request and sent a complete response.
	answered outcome = iota
	// notRun means that the backend server did not run the request and never will.
	notRun
	// unknown means that the backend server may have run the request.
	unknown
)

// String returns the name used between Fronts and in logs.
func (o outcome) String() string {
	return [...]string{"answered", "notrun", "unknown"}[o]
}

// Reasons why a request has no response from a backend server. The values are sent between
// Fronts and logged.
const (
	reasonShed         = "shed"       // shed by the instance: its queue is full or its level does not admit the key
	reasonLeaving      = "leaving"    // the backend server is leaving
	reasonDown         = "down"       // the backend server is unreachable
	reasonMoved        = "moved"      // the instance runs another service
	reasonRejected     = "refused"    // the backend server rejected the request
	reasonTooLate      = "late"       // too little time is left until the deadline
	reasonDial         = "dial"       // connecting to the instance failed
	reasonUnresponsive = "silent"     // the instance neither responded nor answered a probe
	reasonLost         = "lost"       // no complete response arrived
	reasonTimeout      = "timeout"    // no response arrived before the deadline
	reasonCanceled     = "gone"       // the caller closed its connection
	reasonStopped      = "stopped"    // the daemon ended before a response arrived
	reasonQuarantined  = "quarantine" // the request is quarantined because it crashes backend servers
	reasonNoInstance   = "noserver"   // no instance of the service is known
	reasonCrash        = "crash"      // the backend server crashed
	reasonUnproven     = "unproven"   // the backend server rejected the request and may have run it
)

// response is the result of one attempt at an instance.
type response struct {
	outcome outcome
	reason  string
	status  int
	header  http.Header
	body    []byte
	// stream is the body of a response that is too large to buffer; body is nil then.
	stream io.Reader
	length int64
	close  func()

	// levels holds the admission level of each route that the instance serves.
	levels levels
	load   load
	// queueTime is the time spent in the queue of the instance, runTime that at the backend server.
	queueTime, runTime time.Duration
	// crash identifies a crash of the backend server among those that the instance recorded.
	crash string
	// evidence is what the response of the backend server rests on, nil if there was none.
	evidence *evidence
	// deadlineErr is why the gate of this instance rejected the request as too late, nil if it did not.
	deadlineErr *admit.DeadlineError
}

const (
	// writeSize is the number of bytes of a body that are sent at once.
	writeSize = 32 << 10
	// writeTimeout limits the time in which a caller must take writeSize bytes. One that reads slowly has
	// at least 6 KB/s.
	writeTimeout = 5 * time.Second
)

// load is the number of running and queued requests of an instance and its concurrency limit.
type load struct {
	running, queued, limit int
}

// evidence is what the meaning of a response of the backend server rests on.
type evidence struct {
	// carried is the number of requests that the connection carried before, discarded that of the
	// responses to other requests before this one.
	carried, discarded int
	// proof is what states that the request did not run: "mark" or "421", empty if nothing does.
	proof string
	// mark is the value of the mark.
	mark string
}

func notRunResponse(reason string) *response {
	return &response{outcome: notRun, reason: reason}
}

func unknownResponse(reason string) *response {
	return &response{outcome: unknown, reason: reason}
}

// release frees the connection of the response.
func (a *response) release() {
	if a.close != nil {
		a.close()
	}
}

// write sends the response to a caller. It returns an error if the body is truncated; the connection
// must be aborted then.
func (a *response) write(w http.ResponseWriter) error {
	defer a.release()
	h := w.Header()
	for name, values := range a.header {
		h[name] = values
	}
	if h["Content-Type"] == nil {
		// A nil list keeps net/http from detecting the content type.
		h["Content-Type"] = nil
	}
	switch {
	case a.stream == nil:
		h.Set("Content-Length", strconv.Itoa(len(a.body)))
	case a.length >= 0:
		h.Set("Content-Length", strconv.FormatInt(a.length, 10))
	}
	w.WriteHeader(a.status)
	if a.stream == nil && len(a.body) <= writeSize {
		// A write fails only if the caller has closed its connection.
		_, _ = w.Write(a.body)
		return nil
	}
	body := a.stream
	if body == nil {
		body = bytes.NewReader(a.body)
	}
	return errors.Wrap(writeBody(w, body), "send response body")
}

// writeBody sends a body piece by piece. It fails if the caller does not take a piece within
// writeTimeout.
func writeBody(w http.ResponseWriter, body io.Reader) error {
	conn := http.NewResponseController(w)
	// The deadlines can't be set only on a closed connection, where writing fails as well.
	defer func() { _ = conn.SetWriteDeadline(time.Time{}) }()
	piece := make([]byte, writeSize)
	for {
		n, err := body.Read(piece)
		if n > 0 {
			_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout))
			if _, err := w.Write(piece[:n]); err != nil {
				return err
			}
		}
		switch {
		case err == io.EOF:
			return conn.Flush()
		case err != nil:
			return err
		}
	}
}

// breakOff aborts the connection of a request whose response is truncated, so that the caller does not
// take it for complete.
func (f *Front) breakOff(hr *http.Request, r *request, err error) {
	f.Log.WithFields(f.logFields(r)).WithField("err", err).Info("response broken off")
	if !hr.ProtoAtLeast(1, 1) {
		// The body may be sent without chunks, so an ordinary close would look like its end.
		resetOnClose(hr.Context())
	}
	panic(http.ErrAbortHandler)
}
