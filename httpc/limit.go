package httpc

import (
	"fmt"
	"io"
	"net/http"
)

// BodySizeError reports a response body that exceeds the limit of a LimitTransport.
type BodySizeError struct {
	// Limit is the limit in bytes.
	Limit int64
}

func (e *BodySizeError) Error() string {
	return fmt.Sprintf("response body exceeds %d bytes", e.Limit)
}

// LimitTransport is a http.RoundTripper whose response bodies fail with a *BodySizeError after
// MaxBodyBytes. This also stops clients that read the rest of an oversized body to report its size.
type LimitTransport struct {
	Next         http.RoundTripper
	MaxBodyBytes int64
}

// RoundTrip implements http.RoundTripper.
func (l *LimitTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := l.Next.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	resp.Body = &limitedBody{ReadCloser: resp.Body, limit: l.MaxBodyBytes, remaining: l.MaxBodyBytes}
	return resp, nil
}

// CloseIdleConnections closes the idle connections of Next.
func (l *LimitTransport) CloseIdleConnections() {
	(&http.Client{Transport: l.Next}).CloseIdleConnections()
}

type limitedBody struct {
	io.ReadCloser
	limit, remaining int64
}

// Read implements io.Reader.
func (b *limitedBody) Read(p []byte) (int, error) {
	if b.remaining <= 0 {
		return 0, &BodySizeError{Limit: b.limit}
	}
	n, err := b.ReadCloser.Read(p[:min(int64(len(p)), b.remaining)])
	b.remaining -= int64(n)
	return n, err
}
