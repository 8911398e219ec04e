package runlog

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/pkg/errors"
)

// The kinds of lines.
const (
	kindRun    = "run"
	kindSecond = "second"
	kindFault  = "fault"
	kindEnd    = "end"
)

// maxLineSize bounds the bytes of a line.
const maxLineSize = 1 << 20

type runLine struct {
	Kind  string    `json:"kind"`
	Name  string    `json:"name"`
	Seed  uint64    `json:"seed"`
	Began time.Time `json:"began"`
}

type secondLine struct {
	Kind string `json:"kind"`
	At   int    `json:"at"`
	Counts
}

// faultLine is a fault, with its times in milliseconds.
type faultLine struct {
	Kind   string `json:"kind"`
	Name   string `json:"name"`
	Target string `json:"target"`
	From   int64  `json:"from"`
	To     int64  `json:"to"`
}

type endLine struct {
	Kind    string `json:"kind"`
	Seconds int    `json:"seconds"`
	Faults  int    `json:"faults"`
	Counts
}

// LineError reports an invalid line of a log.
type LineError struct {
	// File is empty if the log is not read from a file.
	File    string
	Line    int
	Problem string
}

func (e *LineError) Error() string {
	if e.File == "" {
		return fmt.Sprintf("line %d: %s", e.Line, e.Problem)
	}
	return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Problem)
}

// WriteFile writes the log to a file.
func (r *Run) WriteFile(name string) error {
	f, err := os.Create(name)
	if err != nil {
		return errors.Wrap(err, "create the log of a run")
	}
	if err := r.Write(f); err != nil {
		_ = f.Close()
		return errors.Wrapf(err, "write %s", name)
	}
	return errors.Wrapf(f.Close(), "write %s", name)
}

// Write writes the log.
func (r *Run) Write(w io.Writer) error {
	b := bufio.NewWriter(w)
	enc := json.NewEncoder(b)
	enc.SetEscapeHTML(false)
	lines := []any{runLine{Kind: kindRun, Name: r.Name, Seed: r.Seed, Began: r.Began.UTC().Truncate(time.Millisecond)}}
	for i, c := range r.Seconds {
		lines = append(lines, secondLine{Kind: kindSecond, At: i, Counts: c})
	}
	for _, f := range r.Faults {
		// The end is rounded up, so that the verdict of the file is that of the run.
		end := f.To + time.Millisecond - time.Nanosecond
		lines = append(lines, faultLine{Kind: kindFault, Name: f.Name, Target: f.Target, From: f.From.Milliseconds(), To: end.Milliseconds()})
	}
	lines = append(lines, endLine{Kind: kindEnd, Seconds: len(r.Seconds), Faults: len(r.Faults), Counts: r.Rest})
	for _, l := range lines {
		if err := enc.Encode(l); err != nil {
			return errors.Wrap(err, "encode a line")
		}
	}
	return errors.Wrap(b.Flush(), "write")
}

// ReadFile reads a log from a file, as Read does.
func ReadFile(name string) (*Run, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, errors.Wrap(err, "open the log of a run")
	}
	defer func() { _ = f.Close() }()
	run, err := Read(f)
	var bad *LineError
	if errors.As(err, &bad) {
		bad.File = name
	}
	return run, err
}

// Read reads a log. If a line is invalid or the log is cut off, it returns what was
// read before with a *LineError.
func Read(r io.Reader) (*Run, error) {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineSize)
	p := &parser{}
	for s.Scan() {
		p.line++
		if err := p.parse(s.Bytes()); err != nil {
			return &p.run, &LineError{Line: p.line, Problem: err.Error()}
		}
	}
	p.line++
	switch {
	case s.Err() != nil:
		return &p.run, &LineError{Line: p.line, Problem: s.Err().Error()}
	case p.line == 1:
		return &p.run, &LineError{Line: p.line, Problem: "the file is empty"}
	case !p.ended:
		return &p.run, &LineError{Line: p.line, Problem: "the run is cut off: its end line is missing"}
	}
	return &p.run, nil
}

// parser reads lines into a run.
type parser struct {
	run   Run
	line  int
	ended bool
}

func (p *parser) parse(b []byte) error {
	var l struct {
		Kind string `json:"kind"`
	}
	if err := json.Unmarshal(b, &l); err != nil {
		return errors.Wrap(err, "not a JSON object")
	}
	switch {
	case p.ended:
		return errors.New("follows the end line")
	case (l.Kind == kindRun) != (p.line == 1):
		return errors.Errorf("kind %q: the first line, and no other, is of the kind %q", l.Kind, kindRun)
	}
	switch l.Kind {
	case kindRun:
		return p.parseRun(b)
	case kindSecond:
		return p.parseSecond(b)
	case kindFault:
		return p.parseFault(b)
	case kindEnd:
		return p.parseEnd(b)
	}
	return errors.Errorf("unknown kind %q", l.Kind)
}

func (p *parser) parseRun(b []byte) error {
	l, err := decode[runLine](b)
	if err != nil {
		return err
	}
	p.run.Name, p.run.Seed, p.run.Began = l.Name, l.Seed, l.Began
	return nil
}

func (p *parser) parseSecond(b []byte) error {
	l, err := decode[secondLine](b)
	if err != nil {
		return err
	}
	if l.At != len(p.run.Seconds) {
		return errors.Errorf("second %d in place of second %d", l.At, len(p.run.Seconds))
	}
	p.run.Seconds = append(p.run.Seconds, l.Counts)
	return nil
}

func (p *parser) parseFault(b []byte) error {
	l, err := decode[faultLine](b)
	if err != nil {
		return err
	}
	if l.Name == "" || l.From < 0 || l.To < l.From {
		return errors.Errorf("fault %q from %d ms to %d ms", l.Name, l.From, l.To)
	}
	f := Fault{Name: l.Name, Target: l.Target, From: time.Duration(l.From) * time.Millisecond, To: time.Duration(l.To) * time.Millisecond}
	p.run.Faults = append(p.run.Faults, f)
	return nil
}

func (p *parser) parseEnd(b []byte) error {
	l, err := decode[endLine](b)
	if err != nil {
		return err
	}
	if l.Seconds != len(p.run.Seconds) || l.Faults != len(p.run.Faults) {
		return errors.Errorf("the end line counts %d seconds and %d faults, the file has %d and %d", l.Seconds, l.Faults, len(p.run.Seconds), len(p.run.Faults))
	}
	p.run.Rest, p.ended = l.Counts, true
	return nil
}

// decode decodes a line, which must have exactly the fields that Write writes:
// encoding/json would take a missing field for zero.
func decode[T any](b []byte) (T, error) {
	var l T
	if err := json.Unmarshal(b, &l); err != nil {
		return l, errors.Wrap(err, "invalid field")
	}
	var again bytes.Buffer
	enc := json.NewEncoder(&again)
	enc.SetEscapeHTML(false)
	if err := enc.Encode(l); err != nil {
		return l, errors.Wrap(err, "encode")
	}
	if want := bytes.TrimSuffix(again.Bytes(), []byte("\n")); !bytes.Equal(b, want) {
		return l, errors.Errorf("a field is missing, unknown or out of order: %s, as read %s", b, want)
	}
	return l, nil
}
