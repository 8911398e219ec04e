package front

import (
	"math"
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
	// maxBufferedBody is the largest request body that is buffered for retries, in bytes.
	maxBufferedBody = 64 << 10
	// maxBufferedResponse is the largest response body that is buffered until it is complete, in bytes.
	maxBufferedResponse = 256 << 10
	// queueTimeoutRatio is the share of the latency target for which a request of a caller may be
	// queued.
	queueTimeoutRatio = 1.0 / 8
	// minQueueTimeout is the minimum queue timeout at one instance: two intervals of Gate.Tick.
	minQueueTimeout = 100 * time.Millisecond
	// maxTimeLeft bounds the time that a caller waits. Larger numbers do not fit into a time.Duration.
	maxTimeLeft = 24 * time.Hour
	// hopHeaderPrefix is the prefix of headers between Fronts; callers must not set them.
	hopHeaderPrefix = "Syca-"
)

// request is a request of a caller, or a downstream call of a backend server, to a service.
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
	// nested is set if the local backend server made the request while it ran another one.
	nested bool
	// retry is set if the request or its parent is a retry.
	retry bool
	// movable is set if the sending Front can send the request to another instance should this one end.
	movable bool
	// lates is the number of instances that rejected the request as too late.
	lates int
	// senderRestoresID is set if the sending Front adds the request ID to the response.
	senderRestoresID bool
	// body is the complete body once buffered is set, unless stream is set.
	buffered    bool
	body        []byte
	stream      *bodyStream
	length      int64
	fingerprint poison.Fingerprint
	// poisonState is the state of the request in the quarantine of the sending Front.
	poisonState poison.State

	arrived  time.Time
	deadline time.Time
	// callerTimeout is how long the caller waits for the response, counted from arrived.
	callerTimeout time.Duration
	// peerQueueTimeout is the queue timeout set by the sending Front, 0 for the deadline.
	peerQueueTimeout time.Duration
	revision         uint64
	log              accessLog
}

// queueTimeout returns how long the request may wait in the queue of an instance, 0 for until its
// deadline. A caller's request is shed while most of the latency target is left for a retry. A
// nested request is queued as long as its response can still be of use.
func (r *request) queueTimeout(now time.Time) time.Duration {
	if r.nested || r.route.TargetLatency <= 0 {
		return r.peerQueueTimeout
	}
	left := time.Duration(queueTimeoutRatio*float64(r.route.TargetLatency)) - now.Sub(r.arrived)
	return max(minQueueTimeout, left)
}

// targetPath returns the path of a request target, without the query.
func targetPath(target string) string {
	p, _, _ := strings.Cut(target, "?")
	return p
}

// requestTarget returns the path and query in the form in which the caller sent them.
func requestTarget(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
	"Proxy-Authenticate", "Proxy-Authorization",
}

// stripHopByHop removes the hop-by-hop headers and those between Fronts from h, and returns h.
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

// parseTimeLeft parses the TimeLeft header, in milliseconds. It returns fallback if the value is
// missing, invalid or above maxTimeLeft.
func parseTimeLeft(value string, fallback time.Duration) time.Duration {
	ms, err := strconv.ParseFloat(value, 64)
	if err != nil || math.IsNaN(ms) || ms < 0 || ms > float64(maxTimeLeft.Milliseconds()) {
		return fallback
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// admissionKey returns the admission key of a request with the given rank and ID.
func admissionKey(rank uint32, id string) action.Key {
	var raw action.ID
	h := xxhash.Sum64String(id)
	for i := range 8 {
		raw[i] = byte(h >> (8 * i))
	}
	return action.KeyOf(rank, raw)
}

// fingerprintOf returns the same fingerprint for requests of the same service, origin, method,
// target and body. Of a body that is not buffered, the beginning and the length count.
func fingerprintOf(r *request) poison.Fingerprint {
	digest := action.Digest(r.body)
	if r.stream != nil {
		digest = r.stream.digest + uint64(r.length)
	}
	return poison.FingerprintOf(r.service, r.origin+" "+r.method+" "+r.target, digest)
}
