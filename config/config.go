// Package config reads the settings of a daemon from one INI file.
//
// Every key is checked. An unknown section or key, a missing value or one out
// of bounds is an *Error with the file, section, key and reason, and stops the
// start of the daemon. docs/SETTINGS.md lists the keys.
//
//	cfg, err := config.Load("sycd.ini")
package config

import (
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
	"gopkg.in/ini.v1"

	"sycamorespread.dev/admit"
	"sycamorespread.dev/allow"
)

// maxSlack bounds the retries beyond the ratio.
const maxSlack = 100_000

// Config holds the settings of one daemon.
type Config struct {
	// ID names the instance; it is unique in the fleet.
	ID string
	// Region and Zone tell where the instance is.
	Region, Zone string
	// Addr takes UDP membership packets and drpc calls of other daemons.
	Addr netip.AddrPort
	// Advertise is what other daemons use in place of Addr, as behind a relay.
	Advertise netip.AddrPort
	// HTTP takes calls of callers, operators and the backend server.
	HTTP netip.AddrPort
	// Peers are daemons to contact first when the platform cannot tell.
	Peers []netip.AddrPort
	// LogLevel is the least important level that is logged.
	LogLevel logrus.Level
	// First tells that the whole system starts for the first time, so that there is nobody to join yet.
	First bool
	// Probe is the time between two membership probes.
	Probe time.Duration

	// Front holds the addresses of the HTTP interface; the zero value means none.
	Front Front

	// Platform is the key-value service; the zero value means none.
	Platform netip.AddrPort

	// Service is what the backend server offers.
	Service string
	// Server is where the backend server listens.
	Server netip.AddrPort
	// Slots is the number of calls that the backend server runs at once.
	Slots int
	// Connections bounds the connections to the backend server.
	Connections int
	// WarmUp is the time over which a cold backend server ramps up.
	WarmUp time.Duration

	// Reads and Writes bound the calls per second of this daemon to the platform.
	Reads, Writes float64

	// PolicyFile is the policy of revision 0, used until another is learned.
	PolicyFile string

	// Mode selects full control or one of the baselines of the bench.
	Mode admit.Mode
	// RetryRatio is the number of retries for each request that all daemons together may send.
	RetryRatio float64
	// RetrySlack is the number of retries beyond it, for each service, 0 for the default of each daemon.
	RetrySlack float64
	// TicketValid is how long a ticket may be used.
	TicketValid time.Duration
	// LeaveWait is the least time between the announcement of a stop and the end of service.
	LeaveWait time.Duration
	// ClaimRate bounds the claims per second that this daemon writes to the platform.
	ClaimRate float64
}

// Front holds where HTTP requests are taken.
type Front struct {
	// Outbound takes requests of callers and of the backend server.
	Outbound netip.AddrPort
	// Inbound takes requests of other daemons.
	Inbound netip.AddrPort
	// Advertise is what other daemons use in place of Inbound, as behind a relay.
	Advertise netip.AddrPort
	// Ready answers whether callers should be sent here.
	Ready netip.AddrPort
	// Control takes what the backend server says of itself.
	Control netip.AddrPort
	// Metrics serves counters and histograms as text.
	Metrics netip.AddrPort
	// StopWait is how long a stopping daemon goes on taking requests at least.
	StopWait time.Duration
	// StopMost bounds a stop.
	StopMost time.Duration
}

// Enabled reports whether there is an HTTP interface.
func (f Front) Enabled() bool {
	return f.Outbound.IsValid()
}

// Error reports a fault in the settings.
type Error struct {
	File, Section, Key string
	Problem            string
}

func (e *Error) Error() string {
	return fmt.Sprintf("file=%s section=%s key=%s: %s", e.File, e.Section, e.Key, e.Problem)
}

// Load reads and checks the file. A fault is an *Error.
func Load(file string) (*Config, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, &Error{File: file, Problem: err.Error()}
	}
	return Parse(file, b)
}

// Parse checks settings that were read from the named file.
func Parse(file string, text []byte) (*Config, error) {
	f, err := ini.LoadSources(ini.LoadOptions{AllowShadows: true, AllowNonUniqueSections: true}, text)
	if err != nil {
		return nil, &Error{File: file, Problem: err.Error()}
	}
	cfg := &Config{}
	r := &reader{file: file, ini: f, known: map[string]map[string]bool{}}
	cfg.read(r)
	r.rejectUnknown()
	if r.err != nil {
		return nil, r.err
	}
	return cfg, nil
}

func (c *Config) read(r *reader) {
	c.ID = r.text("daemon", "id", required)
	c.Region = r.text("daemon", "region", required)
	c.Zone = r.text("daemon", "zone", required)
	c.Addr = r.addr("daemon", "addr", required)
	c.Advertise = r.addr("daemon", "advertise", optional)
	if !c.Advertise.IsValid() {
		c.Advertise = c.Addr
	}
	c.HTTP = r.addr("daemon", "http", required)
	c.Peers = r.addrs("daemon", "peers")
	c.LogLevel = r.level("daemon", "log_level", logrus.InfoLevel)
	c.First = r.flag("daemon", "first")
	c.Probe = r.duration("daemon", "probe", time.Second, 100*time.Millisecond, 10*time.Second)
	c.LeaveWait = r.duration("daemon", "leave_wait", 3*time.Second, 0, time.Minute)
	c.Platform = r.addr("platform", "addr", optional)
	c.ClaimRate = float64(r.number("platform", "claim_rate", 20, 1, 1000))
	c.Reads = float64(r.number("platform", "reads", 10, 1, 10_000))
	c.Writes = float64(r.number("platform", "writes", 5, 1, 10_000))
	c.readFront(r)
	c.Service = r.text("server", "service", required)
	c.Server = r.addr("server", "addr", required)
	slots, connections := 0, 0
	if c.Front.Enabled() {
		// The backend server says itself how many it has.
		slots, connections = 1, 100_000
	}
	c.Slots = r.number("server", "slots", slots, 1, 10_000)
	c.Connections = r.number("server", "connections", connections, 1, 100_000)
	c.WarmUp = r.duration("server", "warm_up", 0, 0, 10*time.Minute)
	c.PolicyFile = r.text("policy", "file", optional)
	c.Mode = r.mode("control", "mode")
	c.RetryRatio = r.amount("control", "retry_ratio", allow.DefaultRatio/allow.RatioSafetyFactor, 1)
	c.RetrySlack = r.amount("control", "retry_slack", 0, maxSlack)
	c.TicketValid = r.duration("control", "ticket_valid", time.Minute, time.Second, 10*time.Minute)
	if r.err == nil && c.Connections < c.Slots {
		r.fail("server", "connections", "%d is below slots, %d", c.Connections, c.Slots)
	}
}

// readFront reads the addresses of the HTTP interface; one of them needs all.
func (c *Config) readFront(r *reader) {
	c.Front.Outbound = r.addr("front", "outbound", optional)
	need := need(c.Front.Enabled())
	c.Front.Inbound = r.addr("front", "inbound", need)
	c.Front.Advertise = r.addr("front", "advertise", optional)
	if !c.Front.Advertise.IsValid() {
		c.Front.Advertise = c.Front.Inbound
	}
	c.Front.Ready = r.addr("front", "ready", need)
	c.Front.Control = r.addr("front", "control", need)
	c.Front.Metrics = r.addr("front", "metrics", optional)
	c.Front.StopWait = r.duration("front", "stop_wait", 2500*time.Millisecond, 0, time.Minute)
	c.Front.StopMost = r.duration("front", "stop_most", 5*time.Second, 0, 5*time.Minute)
}

type need bool

const (
	required need = true
	optional need = false
)

// reader takes typed values from an INI file and keeps the first fault.
type reader struct {
	file  string
	ini   *ini.File
	known map[string]map[string]bool
	err   error
}

func (r *reader) fail(section, key, format string, args ...any) {
	if r.err == nil {
		r.err = &Error{File: r.file, Section: section, Key: key, Problem: fmt.Sprintf(format, args...)}
	}
}

func (r *reader) text(section, key string, n need) string {
	if r.known[section] == nil {
		r.known[section] = map[string]bool{}
	}
	r.known[section][key] = true
	var values []string
	for _, s := range r.ini.Sections() {
		if s.Name() == section && s.HasKey(key) {
			values = append(values, s.Key(key).ValueWithShadows()...)
		}
	}
	switch {
	case len(values) > 1:
		r.fail(section, key, "is given %d times", len(values))
	case len(values) == 1 && strings.TrimSpace(values[0]) != "":
		return strings.TrimSpace(values[0])
	case n == required:
		r.fail(section, key, "is missing")
	}
	return ""
}

func (r *reader) addr(section, key string, n need) netip.AddrPort {
	v := r.text(section, key, n)
	if v == "" {
		return netip.AddrPort{}
	}
	return r.parseAddr(section, key, v)
}

func (r *reader) parseAddr(section, key, v string) netip.AddrPort {
	a, err := netip.ParseAddrPort(v)
	if err != nil {
		r.fail(section, key, "%q is not IP:PORT", v)
	}
	return a
}

func (r *reader) addrs(section, key string) []netip.AddrPort {
	v := r.text(section, key, optional)
	if v == "" {
		return nil
	}
	var list []netip.AddrPort
	for _, part := range strings.Split(v, ",") {
		list = append(list, r.parseAddr(section, key, strings.TrimSpace(part)))
	}
	return list
}

func (r *reader) level(section, key string, or logrus.Level) logrus.Level {
	v := r.text(section, key, optional)
	if v == "" {
		return or
	}
	l, err := logrus.ParseLevel(v)
	if err != nil {
		r.fail(section, key, "%q is not one of error, warning, info, debug", v)
	}
	return l
}

// flag reads yes or no; a missing or empty value is no.
func (r *reader) flag(section, key string) bool {
	v := r.text(section, key, optional)
	if v == "" {
		return false
	}
	b, err := strconv.ParseBool(v)
	if err != nil {
		r.fail(section, key, "%q is not true or false", v)
	}
	return b
}

func (r *reader) duration(section, key string, or, least, most time.Duration) time.Duration {
	v := r.text(section, key, optional)
	if v == "" {
		return or
	}
	d, err := time.ParseDuration(v)
	if err != nil || d < least || d > most {
		r.fail(section, key, "%q is not a duration from %s to %s", v, least, most)
	}
	return d
}

// number reads a whole number; a default of 0 makes the key required.
func (r *reader) number(section, key string, or, least, most int) int {
	v := r.text(section, key, need(or == 0))
	if v == "" {
		return or
	}
	var n int
	_, err := fmt.Sscanf(v, "%d", &n)
	if err != nil || fmt.Sprint(n) != v || n < least || n > most {
		r.fail(section, key, "%q is not a whole number from %d to %d", v, least, most)
	}
	return n
}

// amount reads a number from 0 to most.
func (r *reader) amount(section, key string, or, most float64) float64 {
	v := r.text(section, key, optional)
	if v == "" {
		return or
	}
	f, err := strconv.ParseFloat(v, 64)
	if err != nil || f < 0 || f > most {
		r.fail(section, key, "%q is not a number from 0 to %g", v, most)
	}
	return f
}

func (r *reader) mode(section, key string) admit.Mode {
	v := r.text(section, key, optional)
	for _, m := range []admit.Mode{admit.Full, admit.Static, admit.None} {
		if v == m.String() || v == "" {
			return m
		}
	}
	r.fail(section, key, "%q is not one of full, static, none", v)
	return admit.Full
}

func (r *reader) rejectUnknown() {
	for _, s := range r.ini.Sections() {
		known, ok := r.known[s.Name()]
		for _, k := range s.Keys() {
			if !known[k.Name()] {
				r.fail(s.Name(), k.Name(), "unknown key")
			}
		}
		if !ok && s.Name() != ini.DefaultSection {
			r.fail(s.Name(), "", "unknown section")
		}
	}
}
