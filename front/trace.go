package front

import (
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"sycamorespread.dev/action"
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

// logEntry writes the line of a request at the entry.
func (f *Front) logEntry(r *request, outcome string) {
	took := f.Now().Sub(r.arrived)
	f.Stats.Request(outcome, took)
	fields := f.fields(r)
	fields["outcome"] = outcome
	fields["status"] = r.log.status
	fields["ms"] = millis(took)
	fields["revision"] = r.revision
	fields["key"] = uint32(r.key)
	fields["own"] = r.own
	if r.log.after > 0 {
		fields["retry_after_ms"] = r.log.after.Milliseconds()
	}
	if r.log.leveled {
		fields["admits"] = uint32(r.log.level)
		fields["admits_age_ms"] = r.log.levelAge.Milliseconds()
	}
	if len(r.log.sends) > 0 {
		fields["sends"] = strings.Join(r.log.sends, ",")
	}
	f.Log.WithFields(fields).Info("request")
}

// logRun writes the line of a request at the ingress.
func (f *Front) logRun(r *request, a *answer) {
	word := a.why
	if word == "" {
		word = a.outcome.String()
	}
	f.Stats.Run(word, a.waited, a.ran)
	fields := f.fields(r)
	fields["outcome"] = word
	fields["status"] = a.status
	fields["waited_ms"] = millis(a.waited)
	fields["ran_ms"] = millis(a.ran)
	fields["running"] = a.load.running
	fields["queued"] = a.load.queued
	fields["limit"] = a.load.limit
	fields["admits"] = uint32(f.Gate.Level())
	fields["key"] = uint32(r.key)
	fields["instance"] = f.Server().Instance
	f.Log.WithFields(fields).Info("run")
}

func millis(d time.Duration) float64 {
	return float64(d.Microseconds()) / 1000
}
