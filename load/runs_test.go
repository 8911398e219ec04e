package load_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"sycamorespread.dev/load"
)

func TestRunsAreCountedByAction(t *testing.T) {
	a, b := strings.Repeat("a1", 16), strings.Repeat("b2", 16)
	file := filepath.Join(t.TempDir(), "ledger.txt")
	text := a + " plots.get\n" + a + " payments.pay\n" + a + " payments.pay\n" + b + " payments.pay\n"
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	runs := load.NewRuns()
	if err := runs.ReadLedger(file); err != nil {
		t.Fatal(err)
	}
	runs.Check(load.NewRecorder(nil), "payments.pay")
	if runs.Total != 4 || runs.MaxPerAction != 3 || len(runs.Duplicates) != 1 || !strings.Contains(runs.Duplicates[0], a) {
		t.Fatalf("total=%d most=%d twice=%v", runs.Total, runs.MaxPerAction, runs.Duplicates)
	}
}

func TestMalformedLedgerLine(t *testing.T) {
	file := filepath.Join(t.TempDir(), "ledger.txt")
	if err := os.WriteFile(file, []byte("zz plots.get\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	var bad *load.LedgerError
	if err := load.NewRuns().ReadLedger(file); !errors.As(err, &bad) {
		t.Fatalf("got %v", err)
	}
}
