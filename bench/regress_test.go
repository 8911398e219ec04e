package main_test

import (
	"testing"

	"gopkg.in/ini.v1"

	bench "sycamorespread.dev/bench"
	"sycamorespread.dev/platform"
)

func TestCompareSortsWorstRankFirst(t *testing.T) {
	floors, err := ini.Load([]byte("[s]\nquiet-1 = 0.87\nscale-1 = 0.53\nscale-2 = 0.6\n"))
	if err != nil {
		t.Fatal(err)
	}
	day := func(name string, worth float64) platform.BenchDay {
		return platform.BenchDay{Site: "s", Day: name, RawScore: worth, Passed: true}
	}
	broken, slow := day("trouble-1", 0.9), day("trouble-2", 0.9)
	broken.BrokenRules = []string{"TWICE"}
	slow.Fault, slow.Passed = "too slow", false
	got, err := bench.Compare([]platform.BenchDay{day("quiet-1", 0.88), day("scale-1", 0.52), day("fresh", 0.1), slow, broken}, floors)
	if err != nil {
		t.Fatal(err)
	}
	for i, want := range []struct {
		day  string
		rank int
	}{{"trouble-1", bench.RankBroken}, {"trouble-2", bench.RankFailed}, {"scale-1", bench.RankBelowFloor}, {"quiet-1", bench.RankMet}, {"fresh", bench.RankNoFloor}} {
		if got[i].Day != want.day || got[i].Rank != want.rank {
			t.Errorf("result %d: %s", i, got[i])
		}
	}
	floors.Section("s").Key("scale-2").SetValue("x")
	if _, err := bench.Compare([]platform.BenchDay{day("scale-2", 0.5)}, floors); err == nil {
		t.Error("Compare accepted a floor that is not a number")
	}
}
