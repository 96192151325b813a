package simadapter

import (
	"strings"
	"testing"
)

const env = `{"allowed": {"mostTrips": 3, "cancelling": true, "secondCopies": false, "retryAfter": false},
"balancers": 1, "hostTypes": ["std"], "zones": ["z"], "tenants": [{"name": "t", "quotaRps": 50}], "novel": [1, {"x": null}],
"invariants": {"warmUp": 5000.0}, "registryMode": "subscribe", "workloads": [{"name": "w", "effect": "single_shot",
"expectedTime": 500.0, "value": 1.0, "group": "all", "dedupWindow": 900.0, "tardyValue": 0.0}]}`

func batch(lines ...string) string {
	return "sync\twall=10.5\tround=7\n" + strings.Join(lines, "\n") + "\ncommit\n\n"
}

var startEvents = []string{
	"init\tbalancer=balancer/1\trandomSeed=5\tnovel=1\tenv=" + strings.ReplaceAll(env, "\n", "\t"),
	"members\tbalancer=balancer/1\tscope=SAVED\trev=4\tlines=2",
	"row\tmachine=std\thost=10.0.0.1:80\theft=1\thealth=ready\tregionPart=z\tstripe=0",
	"row\tmachine=std\thost=10.0.0.2:80\theft=1\thealth=ready\tbootTime=3.25",
	"ask\tbalancer=balancer/1\tid=77\tpatienceLeft=240.125\tcategory=w\towner=t\tpathKey=12\tnovel=x",
}

func run(text string) (string, error) {
	var out strings.Builder
	err := Run(strings.NewReader(text), &out)
	return out.String(), err
}

// Checks the replies to batches that cover the life of an instance against the wire format.
func TestBatchesAreAnswered(t *testing.T) {
	first := batch(startEvents...)
	out, err := run(first + strings.Replace(batch("aborted\tbalancer=balancer/1\tid=78",
		"completed\tbalancer=balancer/1\tid=77\tleg=0\thost=10.0.0.1:80\thow=60\ttook=4.5",
		"completed\tbalancer=balancer/1\tid=79\tleg=0\thost=10.0.0.1:80\thow=10\ttook=4.5\tnoMore=1",
		"aborted\tbalancer=balancer/1\tid=77", "down\tbalancer=balancer/1", startEvents[0]), "round=7", "round=8", 1))
	want := "stream_changes\tbalancer=balancer/1\ton=1\n" +
		"issue\tbalancer=balancer/1\tid=77\thost=10.0.0.1:80\tuntil=250.625\nack\tround=7\n" +
		"finish_error\tbalancer=balancer/1\tid=77\n" +
		"stream_changes\tbalancer=balancer/1\ton=1\nack\tround=8\n"
	if err != nil || out != want {
		t.Fatalf("error %v, wrote\n%swant\n%s", err, out, want)
	}
}

// Covers events that the simulator's drill does not send (streamed responses, probes, messages), endpoint lists of every
// scope, and requests without a key.
func TestRareEvents(t *testing.T) {
	out, err := run(batch(append(append([]string{}, startEvents...),
		"first_byte\tbalancer=balancer/1\tid=77\tleg=0\thost=10.0.0.1:80\ttook=3",
		"check_result\tbalancer=balancer/1\thost=10.0.0.1:80\thow=10\ttook=1\tusage=cpu_share:0.5,x9:1",
		"check_result\tbalancer=balancer/1\thost=10.0.0.2:80\thow=40\ttook=250",
		"neighbour_says\tbalancer=balancer/1\tfrom=2\tblob=aGkgNw==",
		"neighbour_says\tbalancer=balancer/1\tfrom=2\tblob=-",
		"members\tbalancer=balancer/1\tscope=INCREMENTAL\trev=5\tlines=1",
		"row\tmachine=std\thost=10.0.0.2:80\theft=1\thealth=gone",
		"ask\tbalancer=balancer/1\tid=78\tpatienceLeft=100\tcategory=w\towner=0",
		"completed\tbalancer=balancer/1\tid=77\tleg=0\thost=10.0.0.1:80\thow=10\ttook=9\tinfo=2\tnoMore=1",
		"members\tbalancer=balancer/1\tscope=FULL\trev=6\tlines=0",
		"ask\tbalancer=balancer/1\tid=79\tpatienceLeft=100\tcategory=w",
		"members\tbalancer=balancer/1\tscope=FAILED")...))
	for _, want := range []string{"id=78\thost=10.0.0.1:80\tuntil=110.500\n",
		"push_back\tbalancer=balancer/1\tid=79\n",
		"schedule\tbalancer=balancer/1\ttag=0\t"} {
		if err != nil || strings.Count(out, want) != 1 {
			t.Errorf("error %v, no %q in\n%s", err, want, out)
		}
	}
}

// The error for a malformed batch names the line and the field that violate the format.
func TestMalformedBatchNamesLineAndField(t *testing.T) {
	good := batch(startEvents...)
	for _, c := range []struct{ old, new, want string }{
		{"id=77\t", "", "line 6, field id: missing"},
		{"patienceLeft=240.125", "patienceLeft=soon", "line 6, field patienceLeft: not a number"},
		{"patienceLeft=240.125", "patienceLeft=NaN", "line 6, field patienceLeft: not a number"},
		{"category=w", "category=x", "line 6, field category: unknown name"},
		{"ask\t", "asks\t", "line 6, field asks: unknown event"},
		{"health=ready", "health=fine", "line 4, field health: unknown name"},
		{"lines=2", "lines=3", "line 6, field lines: fewer rows"},
		{"scope=SAVED", "scope=OLD", "line 3, field scope: unknown name"},
		{`{"allowed"`, `{allowed`, "line 2, field env: not a JSON object"},
		{"round=7", "round=x", "line 1, field round: not a whole number"},
		{"commit\n\n", "", "field commit: the input ends within a batch"},
		{"ask\tbalancer=balancer/1\tid=77", "completed\tbalancer=balancer/1\tid=77\tleg=0\thow=10\ttook=1\thost=10.9.9.9:80",
			"line 6, field host: unknown name"},
	} {
		if _, err := run(strings.Replace(good, c.old, c.new, 1)); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q for %q: %v, want %s", c.new, c.old, err, c.want)
		}
	}
	if _, err := run(good + "\n"); err != nil {
		t.Errorf("end of input between batches: %v", err)
	}
}
