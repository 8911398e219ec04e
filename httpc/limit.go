package httpc

import (
	"fmt"
	"io"
	"net/http"
)

// LongError reports a body that is longer than its reader takes.
type LongError struct {
	// Most is the bound in bytes.
	Most int64
}

func (e *LongError) Error() string {
	return fmt.Sprintf("the body of the answer is longer than %d bytes", e.Most)
}

// Limit is a transport whose answers end with a *LongError after Most bytes of
// their body. A client that reads on to learn how long a body is ends then.
type Limit struct {
	Next http.RoundTripper
	Most int64
}

// RoundTrip implements http.RoundTripper.
func (l *Limit) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := l.Next.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	resp.Body = &limited{ReadCloser: resp.Body, most: l.Most, left: l.Most}
	return resp, nil
}

// CloseIdleConnections closes those of the transport behind.
func (l *Limit) CloseIdleConnections() {
	(&http.Client{Transport: l.Next}).CloseIdleConnections()
}

type limited struct {
	io.ReadCloser
	most, left int64
}

// Read implements io.Reader.
func (b *limited) Read(p []byte) (int, error) {
	if b.left <= 0 {
		return 0, &LongError{Most: b.most}
	}
	n, err := b.ReadCloser.Read(p[:min(int64(len(p)), b.left)])
	b.left -= int64(n)
	return n, err
}
