// Package policy holds the overload policy and the way it changes.
//
// A policy is an INI text that operators propose, review in writing and
// accept. It names the classes by importance and, for each method, its class,
// whether it may be repeated, and how many backend server runs one action may
// cause:
//
//	[class dues]
//	rank = 0
//
//	[method payments.pay]
//	class = dues
//	repeatable = no
//	allowance = 8
//	objective = 0.999
//
// Parse checks a text. A Holder keeps the policy in force in one daemon and
// takes only higher revisions. A Registry proposes, reviews and accepts
// changes in the platform's key-value service.
package policy

import (
	"fmt"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"sycamorespread.dev/action"
)

const (
	// maxAllowance bounds the runs that one action may cause.
	maxAllowance = 1024
	// maxBody bounds a request body, in bytes.
	maxBody = 1 << 20
	// defaultBody is the bound on a request body when none is given, in bytes.
	defaultBody = 256 << 10
	// maxTimeout bounds the deadline of a call.
	maxTimeout = 5 * time.Minute
	// defaultTimeout is the longest deadline when none is given.
	defaultTimeout = 30 * time.Second
)

// Method holds the rules of one method.
type Method struct {
	Service, Name string
	// Class and Rank give the importance; rank 0 is the most important.
	Class string
	Rank  uint32
	// Idempotent tells that the method may run more than once for an action.
	Idempotent bool
	// Allowance is how many backend server runs one action may cause.
	Allowance uint32
	// Objective is the share of actions that must be answered whole, 0 to 1.
	Objective float64
	// MaxBodyBytes is the largest request body in bytes.
	MaxBodyBytes int
	// MaxTimeout is the longest deadline that a caller may ask for.
	MaxTimeout time.Duration
}

// Policy is one checked policy. It is not changed after Parse.
type Policy struct {
	// Revision counts the accepted changes; 0 is the policy of the settings.
	Revision uint64
	// ChangeID names the accepted change.
	ChangeID string
	// Text is the source.
	Text string
	// Table holds the routes of HTTP requests, nil when there are none.
	Table *Table

	methods  map[string]Method
	services map[string]bool
}

// LineError reports a fault in a policy text.
type LineError struct {
	// Line counts from 1; 0 when the fault has no line.
	Line int
	// Section and Key name the place; Key may be empty.
	Section, Key string
	Problem      string
}

func (e *LineError) Error() string {
	pos := fmt.Sprintf("line %d: [%s]", e.Line, e.Section)
	if e.Key != "" {
		pos += " " + e.Key
	}
	return pos + ": " + e.Problem
}

// UnknownError reports a service or method that the policy does not name.
type UnknownError struct {
	// Field is "service" or "method".
	Field string
	Name  string
}

func (e *UnknownError) Error() string {
	return fmt.Sprintf("%s %q is not in the policy", e.Field, e.Name)
}

// Method returns the rules of a method or an *UnknownError.
func (p *Policy) Method(service, method string) (Method, error) {
	m, ok := p.methods[service+"."+method]
	if ok {
		return m, nil
	}
	if !p.services[service] {
		return Method{}, &UnknownError{Field: "service", Name: service}
	}
	return Method{}, &UnknownError{Field: "method", Name: method}
}

// Parse checks a policy text. A fault is a *LineError.
func Parse(text string) (*Policy, error) {
	opts := ini.LoadOptions{AllowNonUniqueSections: true, AllowShadows: true, SkipUnrecognizableLines: false}
	file, err := ini.LoadSources(opts, []byte(text))
	if err != nil {
		return nil, &LineError{Line: 0, Section: "policy", Problem: err.Error()}
	}
	pr := &parser{text: text, classes: map[string]uint32{}}
	p := &Policy{Text: text, methods: map[string]Method{}, services: map[string]bool{}}
	if err := pr.readClasses(file); err != nil {
		return nil, err
	}
	if err := pr.readMethods(file, p); err != nil {
		return nil, err
	}
	if len(p.methods) == 0 {
		return nil, &LineError{Section: "method", Problem: "the policy names no method"}
	}
	return p, nil
}

type parser struct {
	text    string
	classes map[string]uint32
}

// errorf returns a LineError with the line of a section or key.
func (pr *parser) errorf(section, key, format string, args ...any) error {
	e := &LineError{Section: section, Key: key, Problem: fmt.Sprintf(format, args...)}
	inSection := false
	for i, line := range strings.Split(pr.text, "\n") {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "[") {
			inSection = strings.TrimSpace(strings.Trim(line, "[]")) == section
			if inSection && e.Line == 0 {
				e.Line = i + 1
			}
			continue
		}
		name, _, _ := strings.Cut(line, "=")
		if inSection && key != "" && strings.TrimSpace(name) == key {
			e.Line = i + 1
			return e
		}
	}
	return e
}

func (pr *parser) readClasses(file *ini.File) error {
	for _, s := range file.Sections() {
		kind, name, _ := strings.Cut(s.Name(), " ")
		switch {
		case s.Name() == ini.DefaultSection:
			if len(s.Keys()) > 0 {
				return pr.errorf("", s.Keys()[0].Name(), "stands before the first section")
			}
		case kind == "class":
			if err := pr.readClass(s, strings.TrimSpace(name)); err != nil {
				return err
			}
		case kind != "method":
			return pr.errorf(s.Name(), "", "unknown section, want class or method")
		}
	}
	return nil
}

func (pr *parser) readClass(s *ini.Section, name string) error {
	if name == "" {
		return pr.errorf(s.Name(), "", "the class has no name")
	}
	if _, ok := pr.classes[name]; ok {
		return pr.errorf(s.Name(), "", "the class is defined twice")
	}
	for _, k := range s.Keys() {
		if k.Name() != "rank" {
			return pr.errorf(s.Name(), k.Name(), "unknown key")
		}
	}
	rank, err := s.Key("rank").Uint()
	if err != nil || rank > action.MaxRank {
		return pr.errorf(s.Name(), "rank", "want a whole number from 0 to %d", action.MaxRank)
	}
	pr.classes[name] = uint32(rank)
	return nil
}

func (pr *parser) readMethods(file *ini.File, p *Policy) error {
	for _, s := range file.Sections() {
		name, ok := strings.CutPrefix(s.Name(), "method ")
		if !ok {
			continue
		}
		m, err := pr.readMethod(s, strings.TrimSpace(name))
		if err != nil {
			return err
		}
		full := m.Service + "." + m.Name
		if _, ok := p.methods[full]; ok {
			return pr.errorf(s.Name(), "", "the method is defined twice")
		}
		p.methods[full] = m
		p.services[m.Service] = true
	}
	return nil
}

func (pr *parser) readMethod(s *ini.Section, full string) (Method, error) {
	service, name, ok := strings.Cut(full, ".")
	if !ok || service == "" || name == "" {
		return Method{}, pr.errorf(s.Name(), "", "want [method SERVICE.METHOD]")
	}
	m := Method{Service: service, Name: name, Idempotent: true, MaxBodyBytes: defaultBody, MaxTimeout: defaultTimeout}
	for _, k := range s.Keys() {
		if problem := pr.set(&m, k); problem != "" {
			return m, pr.errorf(s.Name(), k.Name(), "%s", problem)
		}
	}
	switch {
	case m.Class == "":
		return m, pr.errorf(s.Name(), "class", "is missing")
	case m.Allowance == 0:
		return m, pr.errorf(s.Name(), "allowance", "is missing")
	case m.Objective == 0:
		return m, pr.errorf(s.Name(), "objective", "is missing")
	}
	return m, nil
}

// set applies one key of a method and returns the problem with it, if any.
func (pr *parser) set(m *Method, k *ini.Key) string {
	if len(k.ValueWithShadows()) > 1 {
		return "is given twice"
	}
	var err error
	switch k.Name() {
	case "class":
		rank, ok := pr.classes[k.Value()]
		if !ok {
			return fmt.Sprintf("class %q does not exist", k.Value())
		}
		m.Class, m.Rank = k.Value(), rank
	case "repeatable":
		if m.Idempotent, err = k.Bool(); err != nil {
			return "want yes or no"
		}
	case "allowance":
		n, err := k.Uint()
		if err != nil || n < 1 || n > maxAllowance {
			return fmt.Sprintf("want a whole number from 1 to %d", maxAllowance)
		}
		m.Allowance = uint32(n)
	case "objective":
		if m.Objective, err = k.Float64(); err != nil || m.Objective <= 0 || m.Objective >= 1 {
			return "want a share above 0 and below 1"
		}
	case "body_max":
		if m.MaxBodyBytes, err = k.Int(); err != nil || m.MaxBodyBytes < 0 || m.MaxBodyBytes > maxBody {
			return fmt.Sprintf("want bytes from 0 to %d", maxBody)
		}
	case "timeout_max":
		if m.MaxTimeout, err = k.Duration(); err != nil || m.MaxTimeout <= 0 || m.MaxTimeout > maxTimeout {
			return fmt.Sprintf("want a duration up to %s", maxTimeout)
		}
	default:
		return "unknown key"
	}
	return ""
}
