// Package fresh tracks when a daemon last knew that its policy was the newest one.
//
// The lack of news does not show that nothing changed: the daemons that would
// send the news may be frozen or cut off from the store. Only a read of the
// store that returned the policy in force confirms it, at the time at which the
// read was sent. Without a confirmation within the maximum age, the daemon has
// to read the store itself.
//
//	t := fresh.New(fresh.Config{MaxAge: time.Second, Revision: holder.Revision, Now: now, Log: log})
//	t.Confirm(7, sentAt, "platform")
//	if t.Remaining() <= 0 {
//		// read the store
//	}
package fresh

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// Config holds what a Tracker needs.
type Config struct {
	// MaxAge is the age from which a confirmation no longer counts.
	MaxAge time.Duration
	// Revision returns the revision of the policy in force, 0 if there is none.
	Revision func() uint64
	// Now returns the time of a clock that also runs while the machine is suspended.
	Now func() time.Time
	Log *logrus.Entry
}

// Tracker holds the latest confirmation of the policy in force. It is safe for
// concurrent use.
type Tracker struct {
	Config

	mu       sync.Mutex
	revision uint64
	at       time.Time
	source   string
	// reported is set after the loss of the confirmation was logged.
	reported bool
	// announcedAt is when a newer policy was first announced, zero if none was since the last one
	// came into force.
	announcedAt time.Time
}

// New returns a Tracker without a confirmation.
func New(cfg Config) *Tracker {
	return &Tracker{Config: cfg}
}

// Confirm records that the revision was the newest one at a time, according to
// source. It ignores revisions other than the one in force: an older one is no
// longer the newest, and a newer one must be applied first.
func (t *Tracker) Confirm(revision uint64, at time.Time, source string) {
	current := t.Revision()
	t.mu.Lock()
	defer t.mu.Unlock()
	if revision != current || t.revision == current && !at.After(t.at) {
		return
	}
	if t.reported && t.Now().Sub(at) < t.MaxAge {
		t.reported = false
		t.Log.WithFields(logrus.Fields{"revision": revision, "from": source, "gap_ms": at.Sub(t.at).Milliseconds()}).Info("policy confirmed again")
	}
	t.revision, t.at, t.source = revision, at, source
}

// Announce records that a member announced a revision.
func (t *Tracker) Announce(revision uint64) {
	current := t.Revision()
	t.mu.Lock()
	defer t.mu.Unlock()
	if revision > current && t.announcedAt.IsZero() {
		t.announcedAt = t.Now()
	}
}

// TakeDelay returns the time since the announcement of the policy that just came
// into force, 0 if no member announced it.
func (t *Tracker) TakeDelay() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.announcedAt.IsZero() {
		return 0
	}
	delay := t.Now().Sub(t.announcedAt)
	t.announcedAt = time.Time{}
	return delay
}

// Age returns the time since a revision was last confirmed. It returns false if
// it never was, or if a confirmation of another revision followed.
func (t *Tracker) Age(revision uint64) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.age(revision)
}

// age implements Age. The caller must hold t.mu.
func (t *Tracker) age(revision uint64) (time.Duration, bool) {
	if revision == 0 || t.revision != revision {
		return 0, false
	}
	return max(0, t.Now().Sub(t.at)), true
}

// Remaining returns the time until the confirmation reaches the maximum age, 0
// if it has.
func (t *Tracker) Remaining() time.Duration {
	age, ok := t.Age(t.Revision())
	if !ok {
		return 0
	}
	return max(0, t.MaxAge-age)
}

// ReportLost logs, once until the next confirmation, that the policy in force is
// not confirmed. err is the error of the last read of the store.
func (t *Tracker) ReportLost(err error) {
	current := t.Revision()
	t.mu.Lock()
	defer t.mu.Unlock()
	age, ok := t.age(current)
	if t.reported || ok && age < t.MaxAge {
		return
	}
	t.reported = true
	t.Log.WithFields(logrus.Fields{"revision": current, "known": ok, "age_ms": age.Milliseconds(), "from": t.source, "err": err}).Warn("policy not confirmed")
}
