package front

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"sycamorespread.dev/action"
	"sycamorespread.dev/poison"
	"sycamorespread.dev/policy"
)

const (
	// bodyBuffer is the largest request body that is held so that it can be sent again, in bytes.
	bodyBuffer = 64 << 10
	// answerBuffer is the largest answer that is held until it is known to be whole, in bytes.
	answerBuffer = 256 << 10
	// holdShare is the part of the target for which a request of a caller is held in queues.
	holdShare = 1.0 / 8
	// holdLeast is how long a request is held at least at one instance: two rounds of Gate.Tick.
	holdLeast = 100 * time.Millisecond
	// hopPrefix begins the header fields between Fronts; callers must not set them.
	hopPrefix = "Syca-"
)

// request is one request of a caller on its way to a service.
type request struct {
	id      string
	method  string
	target  string
	host    string
	header  http.Header
	route   *policy.Route
	service string
	origin  string
	key     action.Key
	// own tells that the backend server beside this Front sent it.
	own bool
	// again tells that the request, or the run that made it, is sent again.
	again bool
	// body is the whole body, unless stream is set.
	body   []byte
	stream io.Reader
	length int64
	print  poison.Fingerprint

	arrived  time.Time
	deadline time.Time
	// patience is how long the caller waits, from arrived.
	patience time.Duration
	// wait is how long another Front lets the request wait in the queue, 0 for until the deadline.
	wait     time.Duration
	revision uint64
	log      trace
}

// mayWait returns how long the request may wait in the queue of an instance, 0
// for until its deadline. A caller is refused while most of the target is left
// for a return; what a run is waiting for is held as long as it can be of use.
func (r *request) mayWait(now time.Time) time.Duration {
	if r.own || r.route.Target <= 0 {
		return r.wait
	}
	left := time.Duration(holdShare*float64(r.route.Target)) - now.Sub(r.arrived)
	return max(holdLeast, left)
}

// path returns the part of the target before the query.
func path(target string) string {
	p, _, _ := strings.Cut(target, "?")
	return p
}

// targetOf returns the path and query as the caller sent them.
func targetOf(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// connectionFields concern one connection only and are not forwarded.
var connectionFields = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
	"Proxy-Authenticate", "Proxy-Authorization",
}

// forwardable removes from h the fields that do not travel with the message,
// and returns it.
func forwardable(h http.Header) http.Header {
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range connectionFields {
		delete(h, name)
	}
	for name := range h {
		if strings.HasPrefix(name, hopPrefix) {
			delete(h, name)
		}
	}
	return h
}

// timeLeft reads the time that a caller will wait, or returns or.
func timeLeft(value string, or time.Duration) time.Duration {
	ms, err := strconv.ParseFloat(value, 64)
	if err != nil || ms < 0 {
		return or
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// keyOf returns the admission key of a request.
func keyOf(rank uint32, id string) action.Key {
	var raw action.ID
	h := xxhash.Sum64String(id)
	for i := range 8 {
		raw[i] = byte(h >> (8 * i))
	}
	return action.KeyOf(rank, raw)
}

// fingerprint identifies requests that ask for the same.
func fingerprint(r *request) poison.Fingerprint {
	return poison.FingerprintOf(r.service, r.origin+" "+r.method+" "+r.target, action.Digest(r.body))
}
