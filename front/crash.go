package front

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"sycamorespread.dev/life"
	"sycamorespread.dev/poison"
)

// serverCrashed reports whether the backend server crashed, after a response of its start s was lost.
// Each request that was running then is a suspect in the crash.
func (f *Front) serverCrashed(ctx context.Context, s life.Server) bool {
	now := f.Server()
	switch {
	case now.Instance != s.Instance, now.State == life.Leaving:
		return false
	case now.Start != s.Start:
		// It is back already.
		return true
	case now.State == life.Ready && !f.ServerPool.ConnRefused(ctx, f.ServerAddr):
		return false
	case f.Server().State == life.Leaving:
		return false
	}
	f.OnServerDown(s.Instance)
	return true
}

// runningBody is the body of a response that is passed on while the backend server is at work on it.
type runningBody struct {
	io.Reader
	// onEnd is called once with the error that ended the body, io.EOF if it is complete.
	onEnd func(err error)
}

// Read implements io.Reader.
func (b *runningBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err != nil && b.onEnd != nil {
		b.onEnd(err)
		b.onEnd = nil
	}
	return n, err
}

// trackBody keeps the request among those that are running until the body of its response has ended, and
// records a crash of the backend server that cuts the body.
func (f *Front) trackBody(ctx context.Context, r *request, s life.Server, a *response) {
	a.stream = &runningBody{Reader: a.stream, onEnd: func(err error) {
		switch {
		case errors.Is(err, io.EOF):
			f.completed(r, a.status)
		case ctx.Err() == nil && f.serverCrashed(ctx, s):
			f.recordCrash(r, s)
		}
	}}
	closeBody := a.close
	a.close = func() {
		f.endRun(ctx, r, s, true)
		closeBody()
	}
}

// endRun removes a request from those that are running. If it was sent and its caller has left, the server may
// go on with it.
func (f *Front) endRun(ctx context.Context, r *request, s life.Server, sent bool) {
	f.runs.remove(r)
	if sent && ctx.Err() != nil {
		f.runs.depart(r, s.Start, f.Now())
	}
}

// completed clears a suspect request that ran to its end without a crash.
func (f *Front) completed(r *request, status int) {
	if status < http.StatusInternalServerError {
		f.clearSuspect(r.fingerprint)
	}
}

// recordCrash records a crash of start s of the backend server for all requests that were running
// there, r included. It returns the recorded ID of the crash for r, without the ID of this instance.
func (f *Front) recordCrash(r *request, s life.Server) string {
	detail := fmt.Sprintf("%s@%d#%d", s.Instance, f.Incarnation, s.Start)
	// The request comes first, since another one may have taken its place among those that are running.
	inflight := append([]poison.Request{r.suspect()}, f.runs.suspects(s.Start, f.Now())...)
	recorded := f.Quarantine.RecordCrash(crashID(f.Self, detail), inflight)
	return recorded[0][len(crashID(f.Self, "")):]
}

// crashID returns the ID of a crash among all daemons. The detail identifies it among those of the
// instance.
func crashID(instance, detail string) string {
	return instance + "/" + detail
}

// markSuspect records a request as a suspect in a crash that another instance recorded.
func (f *Front) markSuspect(r *request, instance, detail string) {
	f.Quarantine.AddCrash(crashID(instance, detail), r.suspect())
}

func (r *request) suspect() poison.Request {
	return poison.Request{Service: r.service, Method: r.route.Name, Fingerprint: r.fingerprint, Known: r.poisonState, Fresh: r.poisonState == poison.Clear}
}

// isIsolated reports whether the request is isolated, to the knowledge of this instance or of the
// sender.
func (f *Front) isIsolated(r *request) bool {
	return max(r.poisonState, f.Quarantine.State(r.fingerprint)) == poison.Isolated
}

// clearSuspect clears a suspect request that ran successfully.
func (f *Front) clearSuspect(fp poison.Fingerprint) {
	if state := f.Quarantine.State(fp); state == poison.Suspect || state == poison.Isolated {
		f.Quarantine.Lift(fp)
	}
}

// isolate waits until no other isolated request runs at the backend server, if the request is
// isolated. It returns false if that takes longer than timeout, or than ctx if timeout is 0.
func (f *Front) isolate(ctx context.Context, r *request, timeout time.Duration) (release func(), ok bool) {
	if !f.isIsolated(r) {
		return func() {}, true
	}
	if timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, timeout)
		defer cancel()
	}
	select {
	case f.isolated <- struct{}{}:
	case <-ctx.Done():
		return nil, false
	}
	return sync.OnceFunc(func() { <-f.isolated }), true
}
