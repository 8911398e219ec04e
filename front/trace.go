package front

import (
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"sycamorespread.dev/action"
	"sycamorespread.dev/logs"
)

// trace collects what a request went through, for its log line.
type trace struct {
	status int
	sends  []string
	// after is the pause that the caller was advised.
	after time.Duration
	// level and its age decided a refusal at the entry when leveled is set.
	leveled  bool
	level    action.Level
	levelAge time.Duration
}

// add notes one send.
func (t *trace) add(instance string, a *answer) {
	word := a.why
	if word == "" {
		word = a.outcome.String()
	}
	t.sends = append(t.sends, instance+":"+word)
}

// fields returns what identifies a request in a log line.
func (f *Front) fields(r *request) logrus.Fields {
	name := ""
	if r.route != nil {
		name = r.route.Name
	}
	return logrus.Fields{"request": r.id, "route": name, "service": r.service}
}

// pairs returns what identifies a request, for the line that each has.
func (f *Front) pairs(r *request) *logs.Pairs {
	name := ""
	if r.route != nil {
		name = r.route.Name
	}
	return logs.NewPairs().Text("request", r.id).Text("route", name).Text("service", r.service).Int("key", int64(r.key))
}

// logEntry writes the line of a request at the entry.
func (f *Front) logEntry(r *request, outcome string) {
	took := f.Now().Sub(r.arrived)
	f.Stats.Request(outcome, took)
	p := f.pairs(r).Text("outcome", outcome).Int("status", int64(r.log.status)).Millis("ms", took).
		Int("revision", int64(r.revision)).Bool("own", r.own)
	if r.log.after > 0 {
		p.Int("retry_after_ms", r.log.after.Milliseconds())
	}
	if r.log.leveled {
		p.Int("admits", int64(r.log.level)).Int("admits_age_ms", r.log.levelAge.Milliseconds())
	}
	if len(r.log.sends) > 0 {
		p.Text("sends", strings.Join(r.log.sends, ","))
	}
	p.Info(f.Log, "request")
}

// logRun writes the line of a request at the ingress.
func (f *Front) logRun(r *request, a *answer) {
	word := a.why
	if word == "" {
		word = a.outcome.String()
	}
	f.Stats.Run(word, a.waited, a.ran)
	f.pairs(r).Text("outcome", word).Int("status", int64(a.status)).
		Millis("waited_ms", a.waited).Millis("ran_ms", a.ran).
		Int("running", int64(a.load.running)).Int("queued", int64(a.load.queued)).Int("limit", int64(a.load.limit)).
		Int("admits", int64(f.Gate.Level())).Text("instance", f.Server().Instance).Info(f.Log, "run")
}

func millis(d time.Duration) float64 {
	return float64(d.Microseconds()) / 1000
}
