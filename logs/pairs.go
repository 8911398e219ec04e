package logs

import (
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// Pairs collects the fields of one line in insertion order. It needs no map and
// is pooled, because a daemon writes two such lines per request. It must not be
// used after Info.
//
//	logs.NewPairs().Text("request", id).Int("status", 503).Info(log, "request")
type Pairs struct {
	fields []byte
	line   []byte
}

// pairsPool holds Pairs for reuse.
var pairsPool = sync.Pool{New: func() any { return new(Pairs) }}

// NewPairs returns empty Pairs.
func NewPairs() *Pairs {
	p := pairsPool.Get().(*Pairs)
	p.fields = p.fields[:0]
	return p
}

// Text adds a string field.
func (p *Pairs) Text(key, v string) *Pairs {
	p.fields = appendString(appendKey(p.fields, key), v)
	return p
}

// Int adds an integer field.
func (p *Pairs) Int(key string, v int64) *Pairs {
	p.fields = strconv.AppendInt(appendKey(p.fields, key), v, 10)
	return p
}

// Millis adds a duration in milliseconds with at most three decimals.
func (p *Pairs) Millis(key string, d time.Duration) *Pairs {
	p.fields = strconv.AppendFloat(appendKey(p.fields, key), float64(d.Microseconds())/1000, 'g', -1, 64)
	return p
}

// Bool adds a boolean field.
func (p *Pairs) Bool(key string, v bool) *Pairs {
	p.fields = strconv.AppendBool(appendKey(p.fields, key), v)
	return p
}

// Info writes the line at level info, with the fields of e before the pairs, if
// the logger of e has that level enabled. The output of the logger must be safe
// for concurrent use. Like logrus, Info ignores errors of the output; a Writer
// counts the lines that it drops.
func (p *Pairs) Info(e *logrus.Entry, msg string) {
	if e.Logger.IsLevelEnabled(logrus.InfoLevel) {
		p.line = appendFields(appendHeader(p.line[:0], time.Now(), logrus.InfoLevel, msg), e.Data)
		p.line = append(p.line, p.fields...)
		p.line = append(p.line, '\n')
		_, _ = e.Logger.Out.Write(p.line)
	}
	pairsPool.Put(p)
}
