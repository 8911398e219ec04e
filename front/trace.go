package front

import (
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"sycamorespread.dev/action"
	"sycamorespread.dev/logs"
)

// accessLog collects what a request went through, for its log line.
type accessLog struct {
	status   int
	attempts []string
	// retryAfter is the pause that the caller was advised.
	retryAfter time.Duration
	// level and its age decided a refusal at the entry when leveled is set.
	hasLevel bool
	level    action.Level
	levelAge time.Duration
}

// addAttempt notes one send.
func (t *accessLog) addAttempt(instance string, a *response) {
	word := a.reason
	if word == "" {
		word = a.outcome.String()
	}
	t.attempts = append(t.attempts, instance+":"+word)
}

// logFields returns what identifies a request in a log line.
func (f *Front) logFields(r *request) logrus.Fields {
	name := ""
	if r.route != nil {
		name = r.route.Name
	}
	return logrus.Fields{"request": r.id, "route": name, "service": r.service}
}

// logPairs returns what identifies a request, for the line that each has.
func (f *Front) logPairs(r *request) *logs.Pairs {
	name := ""
	if r.route != nil {
		name = r.route.Name
	}
	return logs.NewPairs().Text("request", r.id).Text("route", name).Text("service", r.service).Int("key", int64(r.key))
}

// logRequest writes the line of a request at the entry.
func (f *Front) logRequest(r *request, outcome string) {
	took := f.Now().Sub(r.arrived)
	f.Stats.Request(outcome, took)
	p := f.logPairs(r).Text("outcome", outcome).Int("status", int64(r.log.status)).Millis("ms", took).
		Int("revision", int64(r.revision)).Bool("own", r.nested)
	if r.log.retryAfter > 0 {
		p.Int("retry_after_ms", r.log.retryAfter.Milliseconds())
	}
	if r.log.hasLevel {
		p.Int("admits", int64(r.log.level)).Int("admits_age_ms", r.log.levelAge.Milliseconds())
	}
	if len(r.log.attempts) > 0 {
		p.Text("sends", strings.Join(r.log.attempts, ","))
	}
	p.Info(f.Log, "request")
}

// logRun writes the line of a request at the ingress.
func (f *Front) logRun(r *request, a *response) {
	word := a.reason
	if word == "" {
		word = a.outcome.String()
	}
	f.Stats.Run(word, a.queueTime, a.runTime)
	f.logPairs(r).Text("outcome", word).Int("status", int64(a.status)).
		Millis("waited_ms", a.queueTime).Millis("ran_ms", a.runTime).
		Int("running", int64(a.load.running)).Int("queued", int64(a.load.queued)).Int("limit", int64(a.load.limit)).
		Int("admits", int64(f.Gate.Level())).Text("instance", f.Server().Instance).Info(f.Log, "run")
}

func millis(d time.Duration) float64 {
	return float64(d.Microseconds()) / 1000
}
