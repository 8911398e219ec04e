package httpc

import (
	"fmt"
	"io"
	"math"
)

// unlimited is the allowance of a meter that is not counting down.
const unlimited = math.MaxInt64

// HeaderSizeError reports an answer whose head, interim answers included, is longer
// than a Pool takes.
type HeaderSizeError struct {
	// Limit is the bound in bytes.
	Limit int64
}

func (e *HeaderSizeError) Error() string {
	return fmt.Sprintf("the head of the answer is longer than %d bytes", e.Limit)
}

// headerLimiter bounds what is read from a connection while a head is expected: the
// parser of heads has no bound of its own, and keeps all that it reads.
type headerLimiter struct {
	r         io.Reader
	limit     int64
	remaining int64
}

// start allows the bytes of one head.
func (m *headerLimiter) start(limit int64) {
	m.limit = limit
	m.remaining = limit
}

// stop lifts the bound.
func (m *headerLimiter) stop() {
	m.remaining = unlimited
}

// Read implements io.Reader. It returns a *HeaderSizeError when the head is too long.
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
