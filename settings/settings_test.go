package settings

import (
	"math"
	"testing"
)

// An endpoint can send anything as a load report, and a value that is not a number would distort every later decision.
// Parsed values are numbers within bounds or, where there is none, NaN.
func FuzzReport(f *testing.F) {
	for _, text := range []string{"util=0.61,qps=7", "qps=NaN,util=-1", "qps=inf", "qps=0x1p4", "qps=1e300", "=,=,", "qps", "x=5",
		"util=0.61,,qps=\xff", "qps=1,qps=2"} {
		f.Add([]byte(text))
	}
	fields := map[string]int{"util": 0, "qps": 1, "beyond": 9}
	f.Fuzz(func(t *testing.T, text []byte) {
		into := []float64{-1, -1}
		read := ParseReport(text, "=", fields, into)
		for _, x := range into {
			if x < 0 || x > maxReportValue || !read && !math.IsNaN(x) {
				t.Fatalf("%q: %v, %t", text, into, read)
			}
		}
	})
}

// A field that cannot be parsed must not prevent the fields next to it from being parsed.
func TestParseReportSkipsInvalidFields(t *testing.T) {
	into := make([]float64, 2)
	if !ParseReport([]byte("x0=3,qps=12.5,util=oops"), "=", map[string]int{"util": 0, "qps": 1}, into) || into[1] != 12.5 ||
		!math.IsNaN(into[0]) {
		t.Fatal(into)
	}
}
