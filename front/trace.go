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
	return new(logs.Pairs).Add("request", r.id).Add("route", name).Add("service", r.service).Add("key", uint32(r.key))
}

// logEntry writes the line of a request at the entry.
func (f *Front) logEntry(r *request, outcome string) {
	took := f.Now().Sub(r.arrived)
	f.Stats.Request(outcome, took)
	p := f.pairs(r).Add("outcome", outcome).Add("status", r.log.status).Add("ms", millis(took)).
		Add("revision", r.revision).Add("own", r.own)
	if r.log.after > 0 {
		p.Add("retry_after_ms", r.log.after.Milliseconds())
	}
	if r.log.leveled {
		p.Add("admits", uint32(r.log.level)).Add("admits_age_ms", r.log.levelAge.Milliseconds())
	}
	if len(r.log.sends) > 0 {
		p.Add("sends", strings.Join(r.log.sends, ","))
	}
	f.Log.WithField(logs.PairsKey, p).Info("request")
}

// logRun writes the line of a request at the ingress.
func (f *Front) logRun(r *request, a *answer) {
	word := a.why
	if word == "" {
		word = a.outcome.String()
	}
	f.Stats.Run(word, a.waited, a.ran)
	p := f.pairs(r).Add("outcome", word).Add("status", a.status).
		Add("waited_ms", millis(a.waited)).Add("ran_ms", millis(a.ran)).
		Add("running", a.load.running).Add("queued", a.load.queued).Add("limit", a.load.limit).
		Add("admits", uint32(f.Gate.Level())).Add("instance", f.Server().Instance)
	f.Log.WithField(logs.PairsKey, p).Info("run")
}

func millis(d time.Duration) float64 {
	return float64(d.Microseconds()) / 1000
}
