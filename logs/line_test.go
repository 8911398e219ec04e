package logs_test

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"sycamorespread.dev/logs"
)

func sampleFields() logrus.Fields {
	return logrus.Fields{
		"request": "9c41d07be2a35f68", "ms": 12.625, "status": 503, "key": uint32(191329), "own": false, "revision": uint64(7),
		"sends": "i1:late,i2:answered", "err": errors.New(`dial "x": refused`), "empty": "", "cold": 1500 * time.Millisecond, "n": int64(-3),
	}
}

// formatEntry logs one entry with the formatter and returns the line.
func formatEntry(f logrus.Formatter) string {
	var out bytes.Buffer
	log := logrus.New()
	log.SetOutput(&out)
	log.SetFormatter(f)
	log.WithTime(time.Date(2026, 12, 4, 7, 8, 9, 12_000_000, time.UTC)).WithFields(sampleFields()).Info("backend server")
	return out.String()
}

// The lines equal those of logrus.TextFormatter, because existing tools parse them.
func TestFormatterMatchesTextFormatter(t *testing.T) {
	want := formatEntry(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: "15:04:05.000", QuoteEmptyFields: true})
	if got := formatEntry(logs.Formatter{}); got != want {
		t.Errorf("got  %swant %s", got, want)
	}
}

func TestPairsKeepOrder(t *testing.T) {
	var out bytes.Buffer
	log := logrus.New()
	log.SetOutput(&out)
	log.SetFormatter(logs.Formatter{})
	e := log.WithField("id", "i1").WithField("zone", "z a")
	for range 2 {
		logs.NewPairs().Text("request", "r 1").Int("status", 503).Millis("ms", 500*time.Microsecond).Bool("own", false).Info(e, "request")
	}
	lines := strings.Split(out.String(), "\n")
	want := "level=info msg=request id=i1 zone=\"z a\" request=\"r 1\" status=503 ms=0.5 own=false"
	for _, line := range lines[:2] {
		if _, rest, _ := strings.Cut(line, "\" "); rest != want {
			t.Errorf("got  %q want %q", rest, want)
		}
	}
	log.SetLevel(logrus.WarnLevel)
	out.Reset()
	logs.NewPairs().Text("request", "r2").Info(e, "request")
	if out.Len() > 0 {
		t.Errorf("got %q below the level", out.String())
	}
}

func BenchmarkFormatter(b *testing.B) {
	log := logrus.New()
	log.SetOutput(new(bytes.Buffer))
	e := log.WithFields(sampleFields())
	e.Buffer = new(bytes.Buffer)
	for b.Loop() {
		e.Buffer.Reset()
		if _, err := (logs.Formatter{}).Format(e); err != nil {
			b.Fatal(err)
		}
	}
}
