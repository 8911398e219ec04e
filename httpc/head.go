package httpc

import (
	"fmt"
	"io"
	"math"
)

// unbounded is the allowance of a meter that is not counting down.
const unbounded = math.MaxInt64

// HeadError reports an answer whose head, interim answers included, is longer
// than a Pool takes.
type HeadError struct {
	// Most is the bound in bytes.
	Most int64
}

func (e *HeadError) Error() string {
	return fmt.Sprintf("the head of the answer is longer than %d bytes", e.Most)
}

// meter bounds what is read from a connection while a head is expected: the
// parser of heads has no bound of its own, and keeps all that it reads.
type meter struct {
	r    io.Reader
	most int64
	left int64
}

// begin allows the bytes of one head.
func (m *meter) begin(most int64) {
	m.most = most
	m.left = most
}

// end lifts the bound.
func (m *meter) end() {
	m.left = unbounded
}

// Read implements io.Reader. It returns a *HeadError when the head is too long.
func (m *meter) Read(b []byte) (int, error) {
	if m.left <= 0 {
		return 0, &HeadError{Most: m.most}
	}
	if int64(len(b)) > m.left {
		b = b[:m.left]
	}
	n, err := m.r.Read(b)
	if m.left != unbounded {
		m.left -= int64(n)
	}
	return n, err
}
