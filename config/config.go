// Package config reads and validates the settings of a daemon from an INI file.
//
// An unknown section or key, a missing value, or a value out of range is an
// *Error with the file, section, key and reason; the daemon does not start.
// docs/SETTINGS.md lists the keys.
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

// stopRatio is the duration of a stop as a ratio of the time until the process is killed. The rest is
// for the end of the process.
const stopRatio = 0.9

// maxRetrySlack is the upper limit of Config.RetrySlack.
const maxRetrySlack = 100_000

// Config holds the settings of one daemon.
type Config struct {
	// ID identifies the instance; it is unique among all daemons.
	ID string
	// Region and Zone locate the instance.
	Region, Zone string
	// Addr is the listen address for UDP membership packets and drpc calls of other daemons.
	Addr netip.AddrPort
	// Advertise is the address that other daemons use instead of Addr, for example that of
	// a relay. It defaults to Addr.
	Advertise netip.AddrPort
	// HTTPAddr is the listen address for RPCs of callers, operators and the backend server.
	HTTPAddr netip.AddrPort
	// Peers are the daemons to join through if the platform is unavailable.
	Peers []netip.AddrPort
	// LogLevel is the lowest severity that is logged.
	LogLevel logrus.Level
	// Bootstrap reports whether the whole system starts for the first time, so there is no
	// member to join yet.
	Bootstrap bool
	// ProbeInterval is the time between two membership probes.
	ProbeInterval time.Duration

	// Front configures the HTTP proxy; the zero value disables it.
	Front Front

	// PlatformAddr is the address of the key-value service; the zero value means none.
	PlatformAddr netip.AddrPort

	// Service is the name of the service that the backend server provides.
	Service string
	// ServerAddr is the address of the backend server.
	ServerAddr netip.AddrPort
	// Slots is the number of calls that the backend server runs concurrently.
	Slots int
	// MaxConnections is the maximum number of connections to the backend server.
	MaxConnections int
	// WarmUp is the time over which a newly started backend server ramps up.
	WarmUp time.Duration

	// ReadRate and WriteRate limit the calls of this daemon to the platform, per second.
	ReadRate, WriteRate float64

	// PolicyFile holds the policy of revision 0, which applies until a later one arrives.
	PolicyFile string
	// PolicyDelay is the time within which a new policy must be in force.
	PolicyDelay time.Duration

	// Mode selects full overload control or one of the baselines of the benchmarks.
	Mode admit.Mode
	// RetryRatio is the maximum ratio of retries to requests over all daemons together.
	RetryRatio float64
	// RetrySlack is the number of retries for each service that are allowed beyond the ratio;
	// 0 selects the default of each daemon.
	RetrySlack float64
	// TicketTTL is how long a ticket may be used.
	TicketTTL time.Duration
	// LeaveDelay is the minimum time between the announcement of a stop and the end of service.
	LeaveDelay time.Duration
	// ClaimRate limits the claims that this daemon writes to the platform, per second.
	ClaimRate float64
}

// Front configures the HTTP proxy of a daemon.
type Front struct {
	// Outbound is the listen address for requests of callers and of the backend server.
	Outbound netip.AddrPort
	// Inbound is the listen address for requests of other daemons.
	Inbound netip.AddrPort
	// Advertise is the address that other daemons use instead of Inbound, for example that
	// of a relay. It defaults to Inbound.
	Advertise netip.AddrPort
	// Ready is the listen address of the readiness check, which reports whether callers
	// should be directed to this daemon.
	Ready netip.AddrPort
	// Control is the listen address for heartbeats and deregistrations of the backend server.
	Control netip.AddrPort
	// Metrics is the listen address that serves counters and histograms as text.
	Metrics netip.AddrPort
	// StopDelay is the time for which a stopping daemon still accepts requests of callers, except shortly
	// before the end of StopTimeout. It takes calls of other daemons for longer.
	StopDelay time.Duration
	// StopTimeout is the maximum duration of a stop.
	StopTimeout time.Duration
}

// Enabled reports whether the HTTP proxy is configured.
func (f Front) Enabled() bool {
	return f.Outbound.IsValid()
}

// Error reports an invalid setting.
type Error struct {
	File, Section, Key string
	Problem            string
}

func (e *Error) Error() string {
	return fmt.Sprintf("file=%s section=%s key=%s: %s", e.File, e.Section, e.Key, e.Problem)
}

// Load reads and validates the file. The error is an *Error.
func Load(file string) (*Config, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, &Error{File: file, Problem: err.Error()}
	}
	return Parse(file, b)
}

// Parse parses and validates text, which was read from the named file. The error
// is an *Error.
func Parse(file string, text []byte) (*Config, error) {
	f, err := ini.LoadSources(ini.LoadOptions{AllowShadows: true, AllowNonUniqueSections: true}, text)
	if err != nil {
		return nil, &Error{File: file, Problem: err.Error()}
	}
	cfg := &Config{}
	r := &reader{file: file, ini: f, knownKeys: map[string]map[string]bool{}}
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
	c.HTTPAddr = r.addr("daemon", "http", required)
	c.Peers = r.addrs("daemon", "peers")
	c.LogLevel = r.level("daemon", "log_level", logrus.InfoLevel)
	c.Bootstrap = r.flag("daemon", "first")
	c.ProbeInterval = r.duration("daemon", "probe", time.Second, 100*time.Millisecond, 10*time.Second)
	c.LeaveDelay = r.duration("daemon", "leave_wait", 3*time.Second, 0, time.Minute)
	c.PlatformAddr = r.addr("platform", "addr", optional)
	c.ClaimRate = float64(r.integer("platform", "claim_rate", 20, 1, 1000))
	c.ReadRate = float64(r.integer("platform", "reads", 10, 1, 10_000))
	c.WriteRate = float64(r.integer("platform", "writes", 5, 1, 10_000))
	c.readFront(r)
	c.Service = r.text("server", "service", required)
	c.ServerAddr = r.addr("server", "addr", required)
	slots, connections := 0, 0
	if c.Front.Enabled() {
		// The backend server reports its slots in its heartbeats.
		slots, connections = 1, 100_000
	}
	c.Slots = r.integer("server", "slots", slots, 1, 10_000)
	c.MaxConnections = r.integer("server", "connections", connections, 1, 100_000)
	c.WarmUp = r.duration("server", "warm_up", 0, 0, 10*time.Minute)
	c.PolicyFile = r.text("policy", "file", optional)
	c.PolicyDelay = r.duration("policy", "delay_max", 2*time.Second, 500*time.Millisecond, time.Minute)
	c.Mode = r.mode("control", "mode")
	c.RetryRatio = r.float("control", "retry_ratio", allow.DefaultRatio/allow.RatioSafetyFactor, 1)
	c.RetrySlack = r.float("control", "retry_slack", 0, maxRetrySlack)
	c.TicketTTL = r.duration("control", "ticket_valid", time.Minute, time.Second, 10*time.Minute)
	if r.err == nil && c.MaxConnections < c.Slots {
		r.failf("server", "connections", "%d is below slots, %d", c.MaxConnections, c.Slots)
	}
}

// readFront reads the settings of the HTTP proxy. An outbound address requires the
// inbound, ready and control addresses too.
func (c *Config) readFront(r *reader) {
	c.Front.Outbound = r.addr("front", "outbound", optional)
	frontPresence := presence(c.Front.Enabled())
	c.Front.Inbound = r.addr("front", "inbound", frontPresence)
	c.Front.Advertise = r.addr("front", "advertise", optional)
	if !c.Front.Advertise.IsValid() {
		c.Front.Advertise = c.Front.Inbound
	}
	c.Front.Ready = r.addr("front", "ready", frontPresence)
	c.Front.Control = r.addr("front", "control", frontPresence)
	c.Front.Metrics = r.addr("front", "metrics", optional)
	c.Front.StopDelay = r.duration("front", "stop_wait", 2500*time.Millisecond, 0, time.Minute)
	grace := r.duration("front", "grace", 6*time.Second, time.Second, 10*time.Minute)
	c.Front.StopTimeout = r.duration("front", "stop_most", time.Duration(stopRatio*float64(grace)), 0, 10*time.Minute)
}

type presence bool

const (
	required presence = true
	optional presence = false
)

// reader reads typed values from an INI file and keeps the first error.
type reader struct {
	file      string
	ini       *ini.File
	knownKeys map[string]map[string]bool
	err       error
}

func (r *reader) failf(section, key, format string, args ...any) {
	if r.err == nil {
		r.err = &Error{File: r.file, Section: section, Key: key, Problem: fmt.Sprintf(format, args...)}
	}
}

func (r *reader) text(section, key string, p presence) string {
	if r.knownKeys[section] == nil {
		r.knownKeys[section] = map[string]bool{}
	}
	r.knownKeys[section][key] = true
	var values []string
	for _, s := range r.ini.Sections() {
		if s.Name() == section && s.HasKey(key) {
			values = append(values, s.Key(key).ValueWithShadows()...)
		}
	}
	switch {
	case len(values) > 1:
		r.failf(section, key, "is set %d times", len(values))
	case len(values) == 1 && strings.TrimSpace(values[0]) != "":
		return strings.TrimSpace(values[0])
	case p == required:
		r.failf(section, key, "is missing")
	}
	return ""
}

func (r *reader) addr(section, key string, p presence) netip.AddrPort {
	v := r.text(section, key, p)
	if v == "" {
		return netip.AddrPort{}
	}
	return r.parseAddr(section, key, v)
}

func (r *reader) parseAddr(section, key, v string) netip.AddrPort {
	a, err := netip.ParseAddrPort(v)
	if err != nil {
		r.failf(section, key, "%q is not IP:PORT", v)
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

func (r *reader) level(section, key string, def logrus.Level) logrus.Level {
	v := r.text(section, key, optional)
	if v == "" {
		return def
	}
	l, err := logrus.ParseLevel(v)
	if err != nil {
		r.failf(section, key, "%q is not one of error, warning, info, debug", v)
	}
	return l
}

// flag reads a boolean; a missing or empty value is false.
func (r *reader) flag(section, key string) bool {
	v := r.text(section, key, optional)
	if v == "" {
		return false
	}
	b, err := strconv.ParseBool(v)
	if err != nil {
		r.failf(section, key, "%q is not true or false", v)
	}
	return b
}

func (r *reader) duration(section, key string, def, lo, hi time.Duration) time.Duration {
	v := r.text(section, key, optional)
	if v == "" {
		return def
	}
	d, err := time.ParseDuration(v)
	if err != nil || d < lo || d > hi {
		r.failf(section, key, "%q is not a duration from %s to %s", v, lo, hi)
	}
	return d
}

// integer reads a whole number; a default of 0 makes the key required.
func (r *reader) integer(section, key string, def, lo, hi int) int {
	v := r.text(section, key, presence(def == 0))
	if v == "" {
		return def
	}
	var n int
	_, err := fmt.Sscanf(v, "%d", &n)
	if err != nil || fmt.Sprint(n) != v || n < lo || n > hi {
		r.failf(section, key, "%q is not a whole number from %d to %d", v, lo, hi)
	}
	return n
}

// float reads a number from 0 to hi.
func (r *reader) float(section, key string, def, hi float64) float64 {
	v := r.text(section, key, optional)
	if v == "" {
		return def
	}
	f, err := strconv.ParseFloat(v, 64)
	if err != nil || f < 0 || f > hi {
		r.failf(section, key, "%q is not a number from 0 to %g", v, hi)
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
	r.failf(section, key, "%q is not one of full, static, none", v)
	return admit.Full
}

func (r *reader) rejectUnknown() {
	for _, s := range r.ini.Sections() {
		known, ok := r.knownKeys[s.Name()]
		for _, k := range s.Keys() {
			if !known[k.Name()] {
				r.failf(s.Name(), k.Name(), "unknown key")
			}
		}
		if !ok && s.Name() != ini.DefaultSection {
			r.failf(s.Name(), "", "unknown section")
		}
	}
}
