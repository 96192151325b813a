package admin

import (
	"bytes"
	"errors"
	"flag"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"

	"hollylever/routing"
	"hollylever/transport"
)

var update = flag.Bool("update", false, "write testdata anew")

// scripted answers as its fields say.
type scripted struct{ ready bool }

func (s scripted) Ready() bool { return s.ready }

func (scripted) Figures() routing.Figures {
	f := routing.Figures{Replies: []routing.Replies{{Workload: "read", Settled: 1, Dismissed: 2, GivenUp: 3}, {Workload: "book", Settled: 4, Dismissed: 5, GivenUp: 6}},
		Handed: 7, Open: 8, Servers: 9, Avoided: 10, Rejections: []routing.RejectionCount{{Reason: "deadline", Count: 11}, {Reason: "memory", Count: 12}}, Late: 13, Unanswered: 14}
	for n, end := range transport.ClientEnds {
		f.Closed = append(f.Closed, routing.CloseCount{End: end.String(), Count: 15 + n})
	}
	return f
}

func (scripted) Ban(name string, out bool) error {
	switch name {
	case "never":
		return routing.ErrNeverListed
	case "disk":
		return errors.New("no space left on device")
	}
	return nil
}

func (scripted) Hosts() []routing.EndpointStatus {
	return []routing.EndpointStatus{{ID: "s/1", Address: "10.0.0.1:70", Kind: "std", Zone: "z", Listed: "Ready", ByHand: true, Avoided: true, Trips: 3, Started: 1_700_000_000_000},
		{ID: "s2", Listed: "not listed"}}
}

// Dashboards and scripts read the door's answers by names and codes: a renamed field or a reworded code leaves them blind.
func TestAnswersOfTheDoorAreAsBefore(t *testing.T) {
	fleet := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { fmt.Fprintln(w, "the fleet's:", r.Method, r.URL.Path) })
	var out strings.Builder
	for _, call := range []struct {
		method, path, body string
		door               door
	}{
		{"GET", "/ready", "", door{scripted{true}, nil}}, {"GET", "/ready", "", door{scripted{false}, nil}}, {"POST", "/ready", "", door{scripted{true}, nil}},
		{"GET", "/metrics", "", door{scripted{}, nil}}, {"POST", "/metrics", "", door{scripted{}, nil}}, {"GET", "/metrics/", "", door{scripted{}, nil}},
		{"GET", "/cache-hosts", "", door{scripted{}, nil}}, {"PUT", "/cache-hosts", "", door{scripted{}, nil}},
		{"POST", "/cache-hosts/disable/a", "", door{scripted{}, nil}}, {"POST", "/cache-hosts/enable/a%2F1", "", door{scripted{}, nil}},
		{"GET", "/cache-hosts/enable/a", "", door{scripted{}, nil}}, {"POST", "/cache-hosts/disable/", "", door{scripted{}, nil}},
		{"POST", "/cache-hosts/disable/a/1", "", door{scripted{}, nil}}, {"POST", "/cache-hosts/disable/never", "", door{scripted{}, nil}},
		{"POST", "/cache-hosts/disable/disk", "", door{scripted{}, nil}}, {"POST", "/cache-hosts/disable/" + strings.Repeat("i", routing.MaxEndpointName), "", door{scripted{}, nil}},
		{"POST", "/cache-hosts/disable/" + strings.Repeat("i", routing.MaxEndpointName+1), "", door{scripted{}, nil}},
		{"POST", "/cache-hosts/disable/a", strings.Repeat("b", mostBody+1), door{scripted{}, nil}},
		{"GET", "/", "", door{scripted{}, nil}}, {"GET", "/fleet", "", door{scripted{}, nil}}, {"GET", "/fleet", "", door{scripted{}, fleet}},
		{"POST", "/fleet/propose", "{}", door{scripted{}, fleet}}, {"GET", "/fleets", "", door{scripted{}, fleet}},
	} {
		w := httptest.NewRecorder()
		call.door.ServeHTTP(w, httptest.NewRequest(call.method, "http://door"+call.path, strings.NewReader(call.body)))
		fmt.Fprintf(&out, "%s %.60s %.10s\n%d %s %s\n%s\n", call.method, call.path, call.body, w.Code, w.Header().Get("Content-Type"), w.Header().Get("Allow"), w.Body)
	}
	const path = "testdata/answers.golden"
	if *update {
		if err := os.WriteFile(path, []byte(out.String()), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	if want, err := os.ReadFile(path); err != nil || !bytes.Equal(want, []byte(out.String())) {
		t.Errorf("%v; got\n%s", err, out.String())
	}
}
