package front

import (
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"sycamorespread.dev/action"
	"sycamorespread.dev/logs"
)

// accessLog collects the data for the log line of a request.
type accessLog struct {
	status   int
	attempts []string
	// retryAfter is the Retry-After duration sent to the caller.
	retryAfter time.Duration
	// level and levelAge are the level for which the outbound side shed the request, and its age; they
	// are valid if hasLevel is set.
	hasLevel bool
	level    action.Level
	levelAge time.Duration
	// shortened is the time by which the end of the daemon's stop brought the deadline forward.
	shortened time.Duration
}

// addAttempt records the result of one attempt.
func (t *accessLog) addAttempt(instance string, a *response) {
	result := a.reason
	if result == "" {
		result = a.outcome.String()
	}
	t.attempts = append(t.attempts, instance+":"+result)
}

// logFields returns the log fields that identify a request.
func (f *Front) logFields(r *request) logrus.Fields {
	name := ""
	if r.route != nil {
		name = r.route.Name
	}
	return logrus.Fields{"request": r.id, "route": name, "service": r.service}
}

// logPairs returns the log pairs that identify a request. Unlike logFields, it includes the admission
// key; it is used for the lines that every request has.
func (f *Front) logPairs(r *request) *logs.Pairs {
	name := ""
	if r.route != nil {
		name = r.route.Name
	}
	return logs.NewPairs().Text("request", r.id).Text("route", name).Text("service", r.service).Int("key", int64(r.key))
}

// logRequest logs the end of a request at the outbound side.
func (f *Front) logRequest(r *request, outcome string) {
	elapsed := f.Now().Sub(r.arrived)
	f.Stats.Request(outcome, elapsed)
	p := f.logPairs(r).Text("outcome", outcome).Int("status", int64(r.log.status)).Millis("ms", elapsed).
		Int("revision", int64(r.revision)).Bool("own", r.nested)
	if r.log.retryAfter > 0 {
		p.Int("retry_after_ms", r.log.retryAfter.Milliseconds())
	}
	if outcome == reasonShed {
		freePercent := int64(100 * f.Table.FreeRatio(r.service))
		f.Stats.Shed(freePercent)
		p.Int("free_percent", freePercent)
	}
	if r.log.hasLevel {
		p.Int("admits", int64(r.log.level)).Int("admits_age_ms", r.log.levelAge.Milliseconds())
	}
	f.addStop(p, r)
	if len(r.log.attempts) > 0 {
		p.Text("sends", strings.Join(r.log.attempts, ","))
	}
	p.Info(f.Log, "request")
}

// addStop adds, while the daemon stops, how long before its end and before its own deadline the request arrived.
func (f *Front) addStop(p *logs.Pairs, r *request) {
	end := f.StopEnd()
	if end.IsZero() || r.deadline.IsZero() {
		return
	}
	left := r.deadline.Sub(r.arrived) + r.log.shortened
	p.Int("stop_left_ms", end.Sub(r.arrived).Milliseconds()).Int("left_ms", left.Milliseconds())
	if r.log.shortened > 0 {
		p.Int("shortened_ms", r.log.shortened.Milliseconds())
	}
}

// logRun logs the end of a request at the inbound side.
func (f *Front) logRun(r *request, a *response) {
	result := a.reason
	if result == "" {
		result = a.outcome.String()
	}
	f.Stats.Run(result, a.queueTime, a.runTime)
	p := f.logPairs(r).Text("outcome", result).Int("status", int64(a.status)).
		Millis("waited_ms", a.queueTime).Millis("ran_ms", a.runTime).
		Int("running", int64(a.load.running)).Int("queued", int64(a.load.queued)).Int("limit", int64(a.load.limit)).
		Int("admits", int64(f.Gate.Level())).Text("instance", f.Server().Instance)
	if e := a.deadlineErr; e != nil {
		p.Millis("left_ms", e.Remaining).Millis("required_ms", e.Required).Int("samples", int64(e.Runs)).Millis("sample_age_ms", e.Age)
	}
	if e := a.evidence; e != nil {
		p.Int("carried", int64(e.carried))
		if e.discarded > 0 {
			p.Int("discarded", int64(e.discarded))
		}
		if e.proof != "" {
			p.Text("proof", e.proof).Text("mark", e.mark)
		}
	}
	p.Info(f.Log, "run")
}

func millis(d time.Duration) float64 {
	return float64(d.Microseconds()) / 1000
}
