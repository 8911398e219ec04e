// Package policy defines the overload control policy and the workflow that
// changes it.
//
// A policy is an INI text that operators propose, review in writing and
// accept. It ranks the request classes by importance and sets for each method
// its class, whether it is idempotent, and how many backend server runs one
// action may cause:
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
// Parse parses and validates a text. A Holder stores the active policy of one
// daemon and accepts only higher revisions. A Registry proposes, reviews and
// accepts changes in the platform's key-value store.
package policy

import (
	"fmt"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"sycamorespread.dev/action"
)

const (
	// maxAllowance is the upper limit of Method.Allowance, in backend server runs.
	maxAllowance = 1024
	// maxBodyBytes is the upper limit of Method.MaxBodyBytes.
	maxBodyBytes = 1 << 20
	// defaultMaxBodyBytes is the maximum request body of a method that sets no body_max.
	defaultMaxBodyBytes = 256 << 10
	// maxTimeout is the upper limit of Method.MaxTimeout.
	maxTimeout = 5 * time.Minute
	// defaultMaxTimeout is the longest timeout of a method that sets no timeout_max.
	defaultMaxTimeout = 30 * time.Second
)

// Method is the policy of one method.
type Method struct {
	Service, Name string
	// Class names the request class and Rank is its priority; rank 0 is the most important.
	Class string
	Rank  uint32
	// Idempotent reports whether the method may run more than once for one action.
	Idempotent bool
	// Allowance is the maximum number of backend server runs that one action may cause.
	Allowance uint32
	// Objective is the service level objective: the ratio of actions that must get a
	// complete response, between 0 and 1.
	Objective float64
	// MaxBodyBytes is the maximum size of a request body.
	MaxBodyBytes int
	// MaxTimeout is the longest timeout that a caller may request.
	MaxTimeout time.Duration
}

// Policy is a validated policy. It is immutable after Parse.
type Policy struct {
	// Revision counts the accepted changes; 0 is the policy from the settings.
	Revision uint64
	// ChangeID identifies the accepted change.
	ChangeID string
	// Text is the source text of the policy.
	Text string
	// Table holds the routes for HTTP requests; nil if there are none.
	Table *Table

	methods  map[string]Method
	services map[string]bool
}

// LineError reports an invalid line of a policy text.
type LineError struct {
	// Line is the line number, starting at 1; 0 if the error belongs to no line.
	Line int
	// Section and Key locate the error; Key may be empty.
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

// UnknownError reports a service or method that the policy does not define.
type UnknownError struct {
	// Field is "service" or "method".
	Field string
	Name  string
}

func (e *UnknownError) Error() string {
	return fmt.Sprintf("%s %q is not in the policy", e.Field, e.Name)
}

// Method returns the policy of a method. If there is none, the error is an
// *UnknownError.
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

// Parse parses and validates a policy text. The error is a *LineError.
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
		return nil, &LineError{Section: "method", Problem: "the policy defines no method"}
	}
	return p, nil
}

type parser struct {
	text    string
	classes map[string]uint32
}

// errorf returns a *LineError that points to the line of the section or key.
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
				return pr.errorf("", s.Keys()[0].Name(), "is set before the first section")
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
		fullName := m.Service + "." + m.Name
		if _, ok := p.methods[fullName]; ok {
			return pr.errorf(s.Name(), "", "the method is defined twice")
		}
		p.methods[fullName] = m
		p.services[m.Service] = true
	}
	return nil
}

func (pr *parser) readMethod(s *ini.Section, fullName string) (Method, error) {
	service, name, ok := strings.Cut(fullName, ".")
	if !ok || service == "" || name == "" {
		return Method{}, pr.errorf(s.Name(), "", "want [method SERVICE.METHOD]")
	}
	m := Method{Service: service, Name: name, Idempotent: true, MaxBodyBytes: defaultMaxBodyBytes, MaxTimeout: defaultMaxTimeout}
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

// set applies one key to m and describes what is invalid about it; the result
// is empty if the key is valid.
func (pr *parser) set(m *Method, k *ini.Key) string {
	if len(k.ValueWithShadows()) > 1 {
		return "is set twice"
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
			return "want a ratio above 0 and below 1"
		}
	case "body_max":
		if m.MaxBodyBytes, err = k.Int(); err != nil || m.MaxBodyBytes < 0 || m.MaxBodyBytes > maxBodyBytes {
			return fmt.Sprintf("want bytes from 0 to %d", maxBodyBytes)
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
