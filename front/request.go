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
	// maxBufferedBody is the largest request body that is held so that it can be sent again, in bytes.
	maxBufferedBody = 64 << 10
	// maxBufferedResponse is the largest answer that is held until it is known to be whole, in bytes.
	maxBufferedResponse = 256 << 10
	// queueTimeoutRatio is the part of the target for which a request of a caller is held in queues.
	queueTimeoutRatio = 1.0 / 8
	// minQueueTimeout is how long a request is held at least at one instance: two rounds of Gate.Tick.
	minQueueTimeout = 100 * time.Millisecond
	// hopHeaderPrefix begins the header fields between Fronts; callers must not set them.
	hopHeaderPrefix = "Syca-"
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
	// nested tells that the backend server beside this Front sent it.
	nested bool
	// retry tells that the request, or the run that made it, is sent again.
	retry bool
	// body is the whole body, unless stream is set.
	body        []byte
	stream      io.Reader
	length      int64
	fingerprint poison.Fingerprint

	arrived  time.Time
	deadline time.Time
	// callerTimeout is how long the caller waits, from arrived.
	callerTimeout time.Duration
	// peerQueueTimeout is how long another Front lets the request wait in the queue, 0 for until the deadline.
	peerQueueTimeout time.Duration
	revision         uint64
	log              accessLog
}

// queueTimeout returns how long the request may wait in the queue of an instance, 0
// for until its deadline. A caller is refused while most of the target is left
// for a return; what a run is waiting for is held as long as it can be of use.
func (r *request) queueTimeout(now time.Time) time.Duration {
	if r.nested || r.route.TargetLatency <= 0 {
		return r.peerQueueTimeout
	}
	left := time.Duration(queueTimeoutRatio*float64(r.route.TargetLatency)) - now.Sub(r.arrived)
	return max(minQueueTimeout, left)
}

// targetPath returns the part of the target before the query.
func targetPath(target string) string {
	p, _, _ := strings.Cut(target, "?")
	return p
}

// requestTarget returns the path and query as the caller sent them.
func requestTarget(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// hopByHopHeaders concern one connection only and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
	"Proxy-Authenticate", "Proxy-Authorization",
}

// stripHopByHop removes from h the fields that do not travel with the message,
// and returns it.
func stripHopByHop(h http.Header) http.Header {
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		delete(h, name)
	}
	for name := range h {
		if strings.HasPrefix(name, hopHeaderPrefix) {
			delete(h, name)
		}
	}
	return h
}

// parseTimeLeft reads the time that a caller will wait, or returns or.
func parseTimeLeft(value string, fallback time.Duration) time.Duration {
	ms, err := strconv.ParseFloat(value, 64)
	if err != nil || ms < 0 {
		return fallback
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// admissionKey returns the admission key of a request.
func admissionKey(rank uint32, id string) action.Key {
	var raw action.ID
	h := xxhash.Sum64String(id)
	for i := range 8 {
		raw[i] = byte(h >> (8 * i))
	}
	return action.KeyOf(rank, raw)
}

// fingerprintOf identifies requests that ask for the same.
func fingerprintOf(r *request) poison.Fingerprint {
	return poison.FingerprintOf(r.service, r.origin+" "+r.method+" "+r.target, action.Digest(r.body))
}
