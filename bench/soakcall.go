package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"sycamorespread.dev/platform"
)

// callResult is the response that a caller received.
type callResult struct {
	status int
	body   string
	id     string
	header http.Header
}

// send sends one request. A status of 0 means that no complete response arrived.
func (s *soak) send(ctx context.Context, h *http.Client, to netip.AddrPort, path, id, body string) callResult {
	return s.sendBody(ctx, h, to, path, id, strings.NewReader(body))
}

func (s *soak) sendBody(ctx context.Context, h *http.Client, to netip.AddrPort, path, id string, body io.Reader) callResult {
	ctx, cancel := context.WithTimeout(ctx, soakRequestTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.String()+path, body)
	if err != nil {
		return callResult{}
	}
	names := platform.Headers()
	req.Host = "h.example"
	req.Header.Set(names.RequestID, id)
	req.Header.Set(names.TimeLeft, fmt.Sprint(soakRequestTimeout.Milliseconds()))
	resp, err := h.Do(req)
	if err != nil {
		return callResult{}
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return callResult{}
	}
	return callResult{status: resp.StatusCode, body: string(b), id: resp.Header.Get(names.RequestID), header: resp.Header}
}

// runCaller sends requests to one instance at an interval until ctx ends. It reuses its connections as long as the
// daemon's process lives.
func (s *soak) runCaller(ctx context.Context, n *soakInstance, name string, interval time.Duration) error {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	h := &http.Client{Transport: &http.Transport{}}
	for i := 0; awaitTick(ctx, tick); i++ {
		id := fmt.Sprintf("%s-%d", name, i)
		path := "/view/x"
		if i%3 == 0 {
			path = "/pay/x"
		}
		var res callResult
		start := time.Now()
		long := s.long && i%longInterval == longInterval-1
		if long {
			res = s.upload(ctx, h, n.outboundAddr, id)
		} else {
			res = s.send(ctx, h, n.outboundAddr, path, id, "body of "+id)
		}
		s.log.Add(time.Now(), outcomeOf(res, time.Since(start)))
		s.checkResult(id, expectedBody(id, long), res)
		s.countResult(res.status)
		if res.status == http.StatusOK {
			s.recordPassed(n, res.header)
		}
	}
	return nil
}

// checkResult checks the response to a request or downstream call, whose complete body is want.
func (s *soak) checkResult(id, want string, res callResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	signature := res.header.Get(platform.Headers().Signature)
	answered := s.answers[serverAnswer{id, res.status}]
	switch res.status {
	case http.StatusOK:
		if !answered {
			s.addViolation("failure", id, fmt.Sprintf("got 200 and %q, no backend server answered so", shortened(res.body)))
		} else if res.body != want || res.id != id || signature != "sig-"+id {
			s.addViolation("whole", id, fmt.Sprintf("got %q as %s signed %q", shortened(res.body), res.id, signature))
		}
		return
	case http.StatusNotFound, http.StatusBadRequest:
		s.addViolation("denied", id, fmt.Sprintf("got status %d", res.status))
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		s.shed[id] = res.status
	}
	if signature != "" && (!answered || res.body != failureBody(id) || res.id != id || signature != "sig-"+id) {
		s.addViolation("failure", id, fmt.Sprintf("got %d and %q as %s signed %q", res.status, shortened(res.body), res.id, signature))
	}
}

// countResult counts the response to a request of a caller.
func (s *soak) countResult(status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent++
	if s.measuring {
		s.measured[0]++
	}
	switch status {
	case http.StatusOK:
		s.served++
		if s.measuring {
			s.measured[1]++
		}
	case http.StatusBadGateway:
		s.gateway++
	}
}
