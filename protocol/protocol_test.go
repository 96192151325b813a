package protocol

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"hollylever/transport"
)

const get = "*4\r\n$5\r\nC.GET\r\n$3\r\nkey\r\n$2\r\nid\r\n$22\r\nc=read,t=acme,d=480.5,\r\n"

// Clients send anything, in any pieces: a part of a command is never taken for a whole one, nor for malformed, and what
// is forwarded can be read again.
func FuzzCommand(f *testing.F) {
	for _, seed := range []string{get, get + get, "*1\r\n$4\r\nPING\r\n", "PING\r\n", "*-1\r\n", "*0\r\n", "*1\r\n$-1\r\n",
		"*1\r\n$-5\r\n\r\n", "*1\r\n$99999999999999999999\r\n", "*2000000000\r\n", "*1\r\n*1\r\n$1\r\na\r\n", "*1\r\n$1\r\nabc",
		"*1\n", "\r\n", "$3\r\nabc\r\n", "*1\r\n$65537\r\n", "*+1\r\n$1\r\na\r\n", strings.Repeat("*", 2000)} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, came []byte) {
		words, length, err := ParseCommand(came)
		if err != nil || length == 0 {
			if words != nil || length != 0 {
				t.Fatalf("%q: %d words and length %d beside %v", came, len(words), length, err)
			}
			return
		}
		if length > len(came) || len(words) == 0 {
			t.Fatalf("%q: length %d, %d words", came, length, len(words))
		}
		for n := range length { // A part is never taken for a whole, nor for malformed.
			if _, part, err := ParseCommand(came[:n]); part != 0 || err != nil {
				t.Fatalf("%q: the first %d bytes give %d, %v", came, n, part, err)
			}
		}
		if verb, wrong := ParseRequest(words); verb.IsRequest() && wrong == nil {
			if a, err := ParseAttributes(words[3]); err == nil {
				if a.TimeoutNanos < 0 || a.PredictedNanos < 0 {
					t.Fatalf("%q: times under 0", words[3])
				}
				message, follows := AppendRequest(nil, words, a.TimeoutNanos)
				again, n, err := ParseCommand(append(message, follows...))
				if err != nil && len(words[3]) < maxArgumentBytes-20 || err == nil && n > 0 && !bytes.Equal(again[1], words[1]) {
					t.Fatalf("%q does not go on: %v", words, err)
				}
			}
		}
	})
}

// Servers send anything: what is read is within what was received, and a value comes only with Succeeded.
func FuzzAnswer(f *testing.F) {
	for _, seed := range []string{"*3\r\n$1\r\nv\r\n$3\r\nhit\r\n$-1\r\n", "-BUSY\r\n", "-BUSY inflight=1\r\n", "-ERR failed\r\n",
		"*3\r\n$-1\r\n$-1\r\n$-1\r\n", "*3\r\n:1\r\n:2\r\n:3\r\n", "*2\r\n$1\r\nv\r\n", "+OK\r\n", "$1\r\nv\r\n", "*-1\r\n", ":\r\n",
		"*3\r\n$1\r\nv\r\n*1\r\n$1\r\nx\r\n$-1\r\n", "*3\r\n$70000\r\n", "*3\r\n$-70000\r\n", "*3\r\n$99999999999999999999\r\n", "HTTP/1.1 400\r\n"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, came []byte) {
		if size, from := ParseLargeValueHeader(came); size != 0 && (size <= MaxValue || size > MaxLargeValue || from > len(came)) {
			t.Fatalf("%q: large: %d from %d", came, size, from)
		}
		if rest := ParseResponseTail(came); rest.Length > len(came) || rest.End == transport.Succeeded && rest.Length == 0 {
			t.Fatalf("%q: the rest: %+v", came, rest)
		}
		r := ParseResponse(came)
		if r.Length > len(came) || (r.End == transport.Succeeded) != (r.Value != nil) || r.CacheResult < 0 || r.CacheResult > 3 ||
			(r.End == transport.Open || r.End == transport.Malformed) != (r.Length == 0) {
			t.Fatalf("%q: %+v", came, r)
		}
	})
}

// Discovery sends anything: a list is good as a whole, or nothing of it is returned.
func FuzzList(f *testing.F) {
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
			t.Fatalf("%q: %v beside %+v", line, err, parsed)
		}
	})
}

func list(status string, since float64) string {
	return fmt.Sprintf(`{"index":7,"snapshot":false,"endpoints":[{"name":"a","address":"127.0.0.1:1","zone":"z","type":"m",`+
		`"group":3,"status":%s,"weight":1.0,"since_ms":%f}]}`, status, since)
}

// A server sends something else than the protocol has words for, whole or in pieces. It ends the attempt as malformed
// and counts for nothing else; a report that can't be read spoils no response.
func TestMalformedResponsesTellNothingOfTheAttempt(t *testing.T) {
	for spoilt, want := range map[string]transport.End{"-ERR failed\r\n": transport.Failed,
		"-ERR failed inflight=7,queue=\x00?\r\n": transport.Failed, "-BUSY util=\xff\r\n": transport.Rejected,
		"-ERR failedX\r\n": transport.Malformed, "-ERR\r\n": transport.Malformed, "-BUSYX\r\n": transport.Malformed, "-\xf8\x15\"\r\n": transport.Malformed,
		"*3\r\n$1\r\nv\r\n$3\r\nhit\r\n$4\r\n\xff\r\n?\r\n": transport.Succeeded, // An unreadable report spoils nothing.
		"*3\r\n$4\r\nabcdefgh\r\n$-1\r\n$-1\r\n":            transport.Malformed, "*3\r\n$-7\r\n$-1\r\n$-1\r\n": transport.Malformed,
		"*3\r\n$3000000000\r\nab": transport.Malformed, "*1000000000\r\n": transport.Malformed, "*3\r\n*3\r\n*3\r\n": transport.Malformed,
		":5\r\n": transport.Malformed, "\xd8@~\xec\r\n\r\n": transport.Malformed, "+PONG\r\n": transport.Malformed,
		"*3\r\n$" + strings.Repeat("9", 2000): transport.Malformed, strings.Repeat("x", 5): transport.Malformed} {
		for n := range len(spoilt) { // In any split of bytes it never settles, and what is good never counts as spoilt.
			if end := ParseResponse([]byte(spoilt[:n])).End; end != transport.Open && end != transport.Malformed || end != transport.Open && want != transport.Malformed {
				t.Fatalf("%.40q: the first %d bytes are %v", spoilt, n, end)
			}
		}
		if end := ParseResponse([]byte(spoilt)).End; end != want {
			t.Errorf("%.40q is %v, not %v", spoilt, end, want)
		}
	}
}

// A client states a time that is no number of the protocol's, such as inf, or leaves out the workload: the request is
// an error, and no server sees it.
func TestAttributesAreReadOrRefusedAsAWhole(t *testing.T) {
	a, err := ParseAttributes([]byte("c=read,t=acme,d=480.5,k=5c,r=1,h=2500,size=9"))
	if string(a.Workload) != "read" || string(a.Tenant) != "acme" || a.TimeoutNanos != 480.5e6 || a.PredictedNanos != 2.5e6 || err != nil {
		t.Fatalf("%+v, %v", a, err)
	}
	for _, bad := range []string{"", "c=read", "d=5", "c=read,d", "c=read,d=-1", "c=read,d=NaN", "c=read,d=x", "c=read,d=5,h=x",
		"c=read,d=", "c=read,d=inf", "c=read,d=0x1p4", "c=read,d=1e3", "c=read,d=+5", "c=read,d=.", "c=read,d=5.5.5",
		"c=read,d=99999999999999999999", "c=read,d=3600001"} {
		if _, err := ParseAttributes([]byte(bad)); err == nil {
			t.Errorf("%q is taken", bad)
		}
	}
}

// A key of 16 hexadecimal digits is placed by its number, any other by a hash that spreads keys that differ little.
func TestKeyIsItsNumberOrItsHash(t *testing.T) {
	if ParseKey([]byte("00000000000000ff")) != 255 || ParseKey([]byte("ff")) == 255 || ParseKey([]byte("ff")) == ParseKey([]byte("fe")) {
		t.Fatal("16 hex digits are a number, all else is hashed")
	}
}

// A request is forwarded with its own attributes, also unknown ones, and a timeout that is what is left for this
// attempt.
func TestRequestIsForwardedAsReceivedButForItsTimeout(t *testing.T) {
	words := [][]byte{[]byte("C.SET"), []byte("key"), []byte("id"), []byte("c=put,d=480,k=5c,x=9"), []byte("v\r\n")}
	want := "*5\r\n$5\r\nC.SET\r\n$3\r\nkey\r\n$2\r\nid\r\n$20\r\nc=put,d=101,k=5c,x=9\r\n$3\r\nv\r\n\r\n"
	if out, _ := AppendRequest(nil, words, 100.2e6); string(out) != want {
		t.Fatalf("%q, want %q", out, want)
	}
}

// A client waits as long as a rejection says. Less than a millisecond is rounded up, so that nobody comes back early.
func TestRejectionStatesWholeMilliseconds(t *testing.T) {
	if a, b := string(AppendRejected(nil, 0)), string(AppendRejected(nil, 1.2e6)); a != "-BUSY\r\n" || b != "-BUSY 2\r\n" {
		t.Fatalf("%q %q", a, b)
	}
}

// A server that is loaded says so in a response, a rejection or an error. The report is returned from each, else a
// server that only rejects would look idle.
func TestLoadReportIsReadWhereverTheProtocolHasOne(t *testing.T) {
	for answer, want := range map[string]string{"*3\r\n$1\r\nv\r\n$3\r\nhit\r\n$13\r\nqps=1,queue=0\r\n": "qps=1,queue=0",
		"*3\r\n$1\r\nv\r\n$3\r\nhit\r\n$-1\r\n": "", "-BUSY qps=1,queue=9\r\n": "qps=1,queue=9", "-BUSY\r\n": "BUSY",
		"-ERR failed qps=2\r\n": "qps=2"} {
		if r := ParseResponse([]byte(answer)); string(r.Report) != want || r.Length != len(answer) {
			t.Errorf("%q: the report is %q", answer, r.Report)
		}
	}
}
