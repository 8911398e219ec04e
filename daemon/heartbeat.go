package daemon

import (
	"slices"
	"sync"
	"time"

	"sycamorespread.dev/life"
	"sycamorespread.dev/policy"
)

const (
	// heldReportTTL is how long a report of a service that no policy has named yet is held. Servers report
	// every one or two seconds.
	heldReportTTL = 5 * time.Second
	// maxHeldReports bounds the held reports.
	maxHeldReports = 8
)

// services is the set of services that a policy has named, and the reports of servers of other
// services. A server may start before the policy that names its service arrives. Reports of other writers
// name services that no policy does.
type services struct {
	mu    sync.Mutex
	names map[string]bool
	// held has one report for each server, the oldest first.
	held []heldReport
}

type heldReport struct {
	report life.Report
	at     time.Time
}

// addAll adds the services of a policy. It returns the held reports of servers of these services.
func (s *services) addAll(p *policy.Policy, now time.Time) []life.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.names == nil {
		s.names = map[string]bool{}
	}
	for _, service := range p.Table.Services {
		s.names[service.Name] = true
	}
	for _, r := range p.Table.Routes {
		for _, w := range r.WeightedServices {
			s.names[w.Service] = true
		}
	}
	var released []life.Report
	s.held = slices.DeleteFunc(s.held, func(h heldReport) bool {
		age := now.Sub(h.at)
		if age > heldReportTTL {
			return true
		}
		if !s.names[h.report.Service] {
			return false
		}
		h.report.ColdRemaining = max(0, h.report.ColdRemaining-age)
		released = append(released, h.report)
		return true
	})
	return released
}

func (s *services) has(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.names[name]
}

// hold keeps a report for a policy that may name its service.
func (s *services) hold(r life.Report, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held = slices.DeleteFunc(s.held, func(h heldReport) bool {
		return h.report.Instance == r.Instance || now.Sub(h.at) > heldReportTTL
	})
	if len(s.held) == maxHeldReports {
		s.held = s.held[1:]
	}
	s.held = append(s.held, heldReport{report: r, at: now})
}

// handleReport applies a report of the backend server. The error is a *life.ReportError if the report
// is of no server that can be used here.
func (d *Daemon) handleReport(r life.Report) error {
	if r.Addr != d.cfg.ServerAddr {
		return &life.ReportError{Field: "address", Value: r.Addr.String()}
	}
	if r.Service != d.cfg.Service && r.Service != d.serverTracker.Server().Service && !d.services.has(r.Service) {
		d.services.hold(r, time.Now())
		return &life.ReportError{Field: "service", Value: r.Service}
	}
	d.serverTracker.HandleReport(r)
	return nil
}

// addServices makes the services of a policy known and applies the reports that were held for it.
func (d *Daemon) addServices(p *policy.Policy) {
	if d.front == nil || p.Table == nil {
		return
	}
	for _, r := range d.services.addAll(p, time.Now()) {
		d.serverTracker.HandleReport(r)
	}
}
