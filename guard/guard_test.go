package guard_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"

	"sycamorespread.dev/guard"
)

func newGuard() (*guard.Guard, *bytes.Buffer, map[string]int) {
	out := new(bytes.Buffer)
	log := logrus.New()
	log.SetOutput(out)
	counts := map[string]int{}
	return guard.New(logrus.NewEntry(log), func(task string) { counts[task]++ }), out, counts
}

func TestCallReportsPanics(t *testing.T) {
	g, out, counts := newGuard()
	if err := g.Call("packet", func() {}); err != nil {
		t.Error(err)
	}
	err := g.Call("packet", func() { panic("bad entry") })
	var p *guard.PanicError
	if !errors.As(err, &p) || p.Task != "packet" || p.Value != "bad entry" {
		t.Errorf("error %v", err)
	}
	if counts["packet"] != 1 || !strings.Contains(out.String(), "TestCallReportsPanics") {
		t.Errorf("counts %v, log %s", counts, out)
	}
}

func TestLoopRestartsAfterPanic(t *testing.T) {
	g, _, counts := newGuard()
	runs := 0
	end := errors.New("end")
	err := g.Loop(context.Background(), "loop", func(context.Context) error {
		if runs++; runs == 1 {
			panic("once")
		}
		return end
	})
	if !errors.Is(err, end) || runs != 2 || counts["loop"] != 1 {
		t.Errorf("error %v after %d runs, counts %v", err, runs, counts)
	}
}

func TestHandlerPanics(t *testing.T) {
	g, _, counts := newGuard()
	s := httptest.NewServer(g.Handler("entry", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/late":
			w.Header().Set("Content-Length", "100")
			_, _ = io.WriteString(w, "part")
			panic("late")
		case "/abort":
			panic(http.ErrAbortHandler)
		}
		panic("early")
	})))
	defer s.Close()
	// With keep-alive, the client would retry a request whose connection was aborted.
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for path, complete := range map[string]bool{"/early": true, "/late": false, "/abort": false} {
		resp, err := client.Get(s.URL + path)
		if err == nil {
			_, err = io.ReadAll(resp.Body)
			_ = resp.Body.Close()
		}
		if complete != (err == nil) {
			t.Errorf("%s: error %v", path, err)
		}
		if complete && resp.StatusCode != http.StatusInternalServerError {
			t.Errorf("%s: status %d", path, resp.StatusCode)
		}
	}
	if counts["entry"] != 2 {
		t.Errorf("counts %v", counts)
	}
}
