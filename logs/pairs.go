package logs

import (
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// Pairs collects the fields of one line in their order, without a map and
// without memory of its own: a daemon writes two such lines for each request.
// It is used once.
//
//	logs.NewPairs().Text("request", id).Int("status", 503).Info(log, "request")
type Pairs struct {
	fields []byte
	line   []byte
}

// pairsPool holds Pairs whose line is written.
var pairsPool = sync.Pool{New: func() any { return new(Pairs) }}

// NewPairs returns Pairs without a field.
func NewPairs() *Pairs {
	p := pairsPool.Get().(*Pairs)
	p.fields = p.fields[:0]
	return p
}

// Text adds a text.
func (p *Pairs) Text(key, v string) *Pairs {
	p.fields = appendString(appendKey(p.fields, key), v)
	return p
}

// Int adds a number.
func (p *Pairs) Int(key string, v int64) *Pairs {
	p.fields = strconv.AppendInt(appendKey(p.fields, key), v, 10)
	return p
}

// Millis adds a time in milliseconds with three digits behind the point at most.
func (p *Pairs) Millis(key string, d time.Duration) *Pairs {
	p.fields = strconv.AppendFloat(appendKey(p.fields, key), float64(d.Microseconds())/1000, 'g', -1, 64)
	return p
}

// Bool adds true or false.
func (p *Pairs) Bool(key string, v bool) *Pairs {
	p.fields = strconv.AppendBool(appendKey(p.fields, key), v)
	return p
}

// Info writes the line with the fields of e before the pairs, if the logger of
// e writes at that level. The output of the logger must be safe for concurrent
// use. Like logrus, it has no way to report a line that could not be written;
// a Writer counts what it drops.
func (p *Pairs) Info(e *logrus.Entry, msg string) {
	if e.Logger.IsLevelEnabled(logrus.InfoLevel) {
		p.line = appendFields(appendHeader(p.line[:0], time.Now(), logrus.InfoLevel, msg), e.Data)
		p.line = append(p.line, p.fields...)
		p.line = append(p.line, '\n')
		_, _ = e.Logger.Out.Write(p.line)
	}
	pairsPool.Put(p)
}
