package httpc

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"

	"golang.org/x/sync/errgroup"
)

// upload sends the body of a request in a goroutine, since a server may respond before it has read
// the complete body.
type upload struct {
	g errgroup.Group
	// done is closed when the goroutine ends; err is set before.
	done chan struct{}
	err  error
}

func startUpload(nc net.Conn, req *Request) *upload {
	u := &upload{done: make(chan struct{})}
	u.g.Go(func() error {
		defer close(u.done)
		u.err = sendBody(nc, req)
		if u.err != nil {
			// End the exchange, so that the server does not wait for the rest of the body.
			_ = nc.SetDeadline(pastDeadline)
		}
		return nil
	})
	return u
}

// sendBody sends a streamed body with its length or with chunked encoding.
func sendBody(nc net.Conn, req *Request) error {
	if req.Length >= 0 {
		n, err := io.Copy(nc, io.LimitReader(req.Stream, req.Length))
		if err == nil && n < req.Length {
			err = io.ErrUnexpectedEOF
		}
		return err
	}
	w := httputil.NewChunkedWriter(nc)
	if _, err := io.Copy(w, req.Stream); err != nil {
		return err
	}
	if err := w.Close(); err != nil {
		return err
	}
	_, err := io.WriteString(nc, "\r\n")
	return err
}

// wait returns how the upload ended, or the error of ctx if that ends before.
func (u *upload) wait(ctx context.Context) error {
	select {
	case <-u.done:
		return u.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// abort waits for the end of the upload, whose connection is closed. stopStream, if not nil, makes a
// blocked read of the body return.
func (u *upload) abort(stopStream func()) {
	select {
	case <-u.done:
	default:
		if stopStream != nil {
			stopStream()
		}
	}
	// The goroutine reports its error in u.err.
	_ = u.g.Wait()
}

// TruncatedError reports a response body without a length whose connection failed, so that its end
// does not show that it is complete.
type TruncatedError struct {
	// Err is the error of the connection.
	Err error
}

func (e *TruncatedError) Error() string {
	return fmt.Sprintf("response without a length ended with a failed connection: %v", e.Err)
}

func (e *TruncatedError) Unwrap() error {
	return e.Err
}

// isCloseDelimited reports whether the end of a response body is that of its connection.
func isCloseDelimited(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// closeDelimitedBody is a response body whose end is that of its connection. The kernel reports a
// reset to one of the two goroutines on a connection, and an ordinary end to the other one. Therefore
// the body is complete only if the request was sent without an error.
type closeDelimitedBody struct {
	io.ReadCloser
	x *exchange
}

// Read implements io.Reader. It returns a *TruncatedError if the request could not be sent.
func (b *closeDelimitedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != io.EOF || b.x.upload == nil {
		return n, err
	}
	if sendErr := b.x.upload.wait(b.x.ctx); sendErr != nil {
		return n, &TruncatedError{Err: sendErr}
	}
	return n, io.EOF
}
