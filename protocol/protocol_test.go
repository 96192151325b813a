package protocol

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"hollylever/transport"
)

const getCommand = "*4\r\n$5\r\nC.GET\r\n$3\r\nkey\r\n$2\r\nid\r\n$22\r\nc=read,t=acme,d=480.5,\r\n"

// Clients may send any bytes, split at any point. Guards against taking a prefix of a valid command for a complete or a
// malformed one, and against forwarding a request that cannot be parsed.
func FuzzCommand(f *testing.F) {
	for _, seed := range []string{getCommand, getCommand + getCommand, "*1\r\n$4\r\nPING\r\n", "PING\r\n", "*-1\r\n", "*0\r\n", "*1\r\n$-1\r\n",
		"*1\r\n$-5\r\n\r\n", "*1\r\n$99999999999999999999\r\n", "*2000000000\r\n", "*1\r\n*1\r\n$1\r\na\r\n", "*1\r\n$1\r\nabc",
		"*1\n", "\r\n", "$3\r\nabc\r\n", "*1\r\n$65537\r\n", "*+1\r\n$1\r\na\r\n", strings.Repeat("*", 2000)} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, received []byte) {
		arguments, length, err := ParseCommand(received)
		if err != nil || length == 0 {
			if arguments != nil || length != 0 {
				t.Fatalf("%q: got %d arguments and length %d with error %v", received, len(arguments), length, err)
			}
			return
		}
		if length > len(received) || len(arguments) == 0 {
			t.Fatalf("%q: length %d, %d arguments", received, length, len(arguments))
		}
		for n := range length { // A proper prefix is incomplete, never complete or malformed.
			if _, prefixLength, err := ParseCommand(received[:n]); prefixLength != 0 || err != nil {
				t.Fatalf("%q: the first %d bytes parse as length %d, error %v, want incomplete", received, n, prefixLength, err)
			}
		}
		if verb, err := ParseRequest(arguments); verb.IsRequest() && err == nil {
			if a, err := ParseAttributes(arguments[3]); err == nil {
				if a.TimeoutNanos < 0 || a.PredictedNanos < 0 {
					t.Fatalf("%q: negative time", arguments[3])
				}
				message, tail := AppendRequest(nil, arguments, a.TimeoutNanos)
				parsedAgain, n, err := ParseCommand(append(message, tail...))
				if err != nil && len(arguments[3]) < maxArgumentBytes-20 || err == nil && n > 0 && !bytes.Equal(parsedAgain[1], arguments[1]) {
					t.Fatalf("%q: forwarded request cannot be parsed: %v", arguments, err)
				}
			}
		}
	})
}

// Servers may send any bytes. Guards against lengths beyond the received bytes and against a value in a response that
// is not Succeeded.
func FuzzResponse(f *testing.F) {
	for _, seed := range []string{"*3\r\n$1\r\nv\r\n$3\r\nhit\r\n$-1\r\n", "-BUSY\r\n", "-BUSY inflight=1\r\n", "-ERR failed\r\n",
		"*3\r\n$-1\r\n$-1\r\n$-1\r\n", "*3\r\n:1\r\n:2\r\n:3\r\n", "*2\r\n$1\r\nv\r\n", "+OK\r\n", "$1\r\nv\r\n", "*-1\r\n", ":\r\n",
		"*3\r\n$1\r\nv\r\n*1\r\n$1\r\nx\r\n$-1\r\n", "*3\r\n$70000\r\n", "*3\r\n$-70000\r\n", "*3\r\n$99999999999999999999\r\n", "HTTP/1.1 400\r\n"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, received []byte) {
		if size, start := ParseLargeValueHeader(received); size != 0 && (size <= MaxValue || size > MaxLargeValue || start > len(received)) {
			t.Fatalf("%q: large value of %d bytes, starting at %d", received, size, start)
		}
		if tail := ParseResponseTail(received); tail.Length > len(received) || tail.End == transport.Succeeded && tail.Length == 0 {
			t.Fatalf("%q: as the tail of a response: %+v", received, tail)
		}
		r := ParseResponse(received)
		if r.Length > len(received) || (r.End == transport.Succeeded) != (r.Value != nil) || r.CacheResult < 0 || r.CacheResult > 3 ||
			(r.End == transport.Open || r.End == transport.Malformed) != (r.Length == 0) {
			t.Fatalf("%q: %+v", received, r)
		}
	})
}

// Discovery may send any bytes. Guards against returning a part of a list that has an invalid entry.
func FuzzEndpointList(f *testing.F) {
	for _, seed := range []string{list(`"Ready"`, 0), list(`"Gone"`, 1.5e12), list(`"Up"`, 0), list(`3`, -1), strings.Replace(list(`"Ready"`, 0), "1.0", "-1e999", 1), strings.Replace(list(`"Ready"`, 0), "1.0", "1e999", 1), "", "{}", "[]",
		`{"index":1,"snapshot":true,"endpoints":[3,null]}`, list(`"Ready"`, 0)[:40]} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, line []byte) {
		parsed, err := ParseEndpointList(line)
		for _, e := range parsed.Endpoints {
			if e.Name == "" || e.Status.String() == "" || e.Weight < 0 || e.Weight > maxWeight {
				t.Fatalf("%q: %+v", line, e)
			}
		}
		if err != nil && (parsed.Index != 0 || parsed.IsSnapshot || parsed.Endpoints != nil) {
			t.Fatalf("%q: error %v with %+v", line, err, parsed)
		}
	})
}

func list(status string, since float64) string {
	return fmt.Sprintf(`{"index":7,"snapshot":false,"endpoints":[{"name":"a","address":"127.0.0.1:1","zone":"z","type":"m",`+
		`"group":3,"status":%s,"weight":1.0,"since_ms":%f}]}`, status, since)
}

// A server sends a response that is not in the protocol, complete or split. Guards against counting it as anything but
// malformed, and against rejecting a valid response because its load report is unreadable.
func TestInvalidResponsesAreMalformed(t *testing.T) {
	for input, want := range map[string]transport.End{"-ERR failed\r\n": transport.Failed,
		"-ERR failed inflight=7,queue=\x00?\r\n": transport.Failed, "-BUSY util=\xff\r\n": transport.Rejected,
		"-ERR failedX\r\n": transport.Malformed, "-ERR\r\n": transport.Malformed, "-BUSYX\r\n": transport.Malformed, "-\xf8\x15\"\r\n": transport.Malformed,
		"*3\r\n$1\r\nv\r\n$3\r\nhit\r\n$4\r\n\xff\r\n?\r\n": transport.Succeeded, // An unreadable report is no error.
		"*3\r\n$4\r\nabcdefgh\r\n$-1\r\n$-1\r\n":            transport.Malformed, "*3\r\n$-7\r\n$-1\r\n$-1\r\n": transport.Malformed,
		"*3\r\n$3000000000\r\nab": transport.Malformed, "*1000000000\r\n": transport.Malformed, "*3\r\n*3\r\n*3\r\n": transport.Malformed,
		":5\r\n": transport.Malformed, "\xd8@~\xec\r\n\r\n": transport.Malformed, "+PONG\r\n": transport.Malformed,
		"*3\r\n$" + strings.Repeat("9", 2000): transport.Malformed, strings.Repeat("x", 5): transport.Malformed} {
		for n := range len(input) { // A proper prefix has no result yet; it is malformed only if the response is.
			if end := ParseResponse([]byte(input[:n])).End; end != transport.Open && end != transport.Malformed || end != transport.Open && want != transport.Malformed {
				t.Fatalf("%.40q: the first %d bytes end the attempt as %v", input, n, end)
			}
		}
		if end := ParseResponse([]byte(input)).End; end != want {
			t.Errorf("%.40q: got %v, want %v", input, end, want)
		}
	}
}

// Guards against forwarding a request whose attribute list has no workload or a time that the protocol does not allow,
// such as inf: the whole list is an error.
func TestInvalidAttributeListIsError(t *testing.T) {
	a, err := ParseAttributes([]byte("c=read,t=acme,d=480.5,k=5c,r=1,h=2500,size=9"))
	if string(a.Workload) != "read" || string(a.Tenant) != "acme" || a.TimeoutNanos != 480.5e6 || a.PredictedNanos != 2.5e6 || err != nil {
		t.Fatalf("%+v, %v", a, err)
	}
	for _, bad := range []string{"", "c=read", "d=5", "c=read,d", "c=read,d=-1", "c=read,d=NaN", "c=read,d=x", "c=read,d=5,h=x",
		"c=read,d=", "c=read,d=inf", "c=read,d=0x1p4", "c=read,d=1e3", "c=read,d=+5", "c=read,d=.", "c=read,d=5.5.5",
		"c=read,d=99999999999999999999", "c=read,d=3600001"} {
		if _, err := ParseAttributes([]byte(bad)); err == nil {
			t.Errorf("%q: got no error", bad)
		}
	}
}

// A key of 16 hexadecimal digits is placed by its value, any other by a hash that gives similar keys different numbers.
func TestParseKeyReturnsValueOrHash(t *testing.T) {
	if ParseKey([]byte("00000000000000ff")) != 255 || ParseKey([]byte("ff")) == 255 || ParseKey([]byte("ff")) == ParseKey([]byte("fe")) {
		t.Fatal("want the value of a key of 16 hexadecimal digits and the hash of any other key")
	}
}

// A request is forwarded with all its attributes, including unknown ones, and with its timeout replaced by the time
// limit of the attempt.
func TestRequestIsForwardedWithOnlyItsTimeoutReplaced(t *testing.T) {
	arguments := [][]byte{[]byte("C.SET"), []byte("key"), []byte("id"), []byte("c=put,d=480,k=5c,x=9"), []byte("v\r\n")}
	want := "*5\r\n$5\r\nC.SET\r\n$3\r\nkey\r\n$2\r\nid\r\n$20\r\nc=put,d=101,k=5c,x=9\r\n$3\r\nv\r\n\r\n"
	if out, _ := AppendRequest(nil, arguments, 100.2e6); string(out) != want {
		t.Fatalf("%q, want %q", out, want)
	}
}

// A client waits for the time that a rejection states. Fractions of a millisecond are rounded up, so that clients do
// not retry too early.
func TestRejectionStatesWholeMilliseconds(t *testing.T) {
	if a, b := string(AppendRejected(nil, 0)), string(AppendRejected(nil, 1.2e6)); a != "-BUSY\r\n" || b != "-BUSY 2\r\n" {
		t.Fatalf("%q %q", a, b)
	}
}

// Servers send their load report with a value, a rejection or an error. Guards against ignoring one of these: a server
// that only rejects would look idle.
func TestLoadReportIsReadFromEveryKindOfResponse(t *testing.T) {
	for input, want := range map[string]string{"*3\r\n$1\r\nv\r\n$3\r\nhit\r\n$13\r\nqps=1,queue=0\r\n": "qps=1,queue=0",
		"*3\r\n$1\r\nv\r\n$3\r\nhit\r\n$-1\r\n": "", "-BUSY qps=1,queue=9\r\n": "qps=1,queue=9", "-BUSY\r\n": "BUSY",
		"-ERR failed qps=2\r\n": "qps=2"} {
		if r := ParseResponse([]byte(input)); string(r.Report) != want || r.Length != len(input) {
			t.Errorf("%q: got report %q", input, r.Report)
		}
	}
}
