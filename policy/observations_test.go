package policy

import (
	"math"
	"testing"
)

// The sum must contain the last report of each listed endpoint exactly once, although reports may lack values and
// endpoints leave the list. A value that is missing from a report keeps its previous value.
func TestLoadReportsSumTheLastOfEach(t *testing.T) {
	fields := []string{reportServedRate, "other", reportCPUShare, reportPending}
	missing := math.NaN()
	var reports loadReports
	first, second := loadReport{servedRate: notReported}, loadReport{servedRate: notReported}
	for n, c := range []struct {
		report  *loadReport
		figures []float64
		want    loadReports
	}{
		{&first, []float64{100, 7, 0.5, missing}, loadReports{servedRate: 100, strain: 0.5, reporters: 1}},
		{&second, []float64{40, 7, 1.5, missing}, loadReports{servedRate: 140, strain: 1.5, reporters: 2}},
		{&first, []float64{missing, missing, 0.25, missing}, loadReports{servedRate: 140, strain: 1.25, reporters: 2}},
		{&second, []float64{60, missing, missing, 3}, loadReports{servedRate: 160, strain: 1, reporters: 2}},
	} {
		if reports.replace(c.report, c.figures, fields); reports != c.want {
			t.Errorf("report %d: %+v, want %+v", n, reports, c.want)
		}
	}
	reports.reset()
	reports.add(second)
	reports.add(loadReport{servedRate: notReported})
	if want := (loadReports{servedRate: 60, strain: 0.75, reporters: 1}); reports != want {
		t.Errorf("after the first endpoint left the list: %+v, want %+v", reports, want)
	}
}

// Only outcomes that prove that an attempt never ran may map to neverRan, because retries rely on it.
func TestOutcomeProvesExecution(t *testing.T) {
	for outcome, want := range map[Outcome]executionState{
		OK: completed, Errored: mayHaveRun, Rejected: neverRan, TimedOut: mayHaveRun, ConnectFailed: neverRan,
		Reset: mayHaveRun, Cancelled: mayHaveRun, NotSent: neverRan, CacheMiss: neverRan,
	} {
		if got := outcome.provenExecution(); got != want {
			t.Errorf("%v: state %d, want %d", outcome, got, want)
		}
	}
}
