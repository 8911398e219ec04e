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
	print  poison.Print

	arrived  time.Time
	deadline time.Time
	// patience is how long the caller waits, from arrived.
	patience time.Duration
	revision uint64
	log      trace
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

// forwardable returns the fields of h that travel with the message.
func forwardable(h http.Header) http.Header {
	out := make(http.Header, len(h))
	for name, values := range h {
		if !strings.HasPrefix(name, hopPrefix) {
			out[name] = values
		}
	}
	for _, list := range h["Connection"] {
		for _, name := range strings.Split(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range connectionFields {
		delete(out, name)
	}
	return out
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
func fingerprint(r *request) poison.Print {
	return poison.PrintOf(r.service, r.origin+" "+r.method+" "+r.target, action.Digest(r.body))
}
