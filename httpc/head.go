package httpc

import (
	"fmt"
	"io"
	"math"
)

// unlimited is the value of remaining while the limit is not enforced.
const unlimited = math.MaxInt64

// HeaderSizeError reports a response whose header, including those of interim responses, exceeds
// the limit of the Pool.
type HeaderSizeError struct {
	// Limit is the limit in bytes.
	Limit int64
}

func (e *HeaderSizeError) Error() string {
	return fmt.Sprintf("response header exceeds %d bytes", e.Limit)
}

// headerLimiter limits the bytes read from a connection while a header is expected:
// http.ReadResponse has no limit and keeps all that it reads in memory.
type headerLimiter struct {
	r         io.Reader
	limit     int64
	remaining int64
}

// start begins to enforce the limit, in bytes, for one response header.
func (m *headerLimiter) start(limit int64) {
	m.limit = limit
	m.remaining = limit
}

// stop ends the enforcement of the limit.
func (m *headerLimiter) stop() {
	m.remaining = unlimited
}

// Read implements io.Reader. It returns a *HeaderSizeError when the header exceeds the limit.
func (m *headerLimiter) Read(b []byte) (int, error) {
	if m.remaining <= 0 {
		return 0, &HeaderSizeError{Limit: m.limit}
	}
	if int64(len(b)) > m.remaining {
		b = b[:m.remaining]
	}
	n, err := m.r.Read(b)
	if m.remaining != unlimited {
		m.remaining -= int64(n)
	}
	return n, err
}
