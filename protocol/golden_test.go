package protocol

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"hollylever/transport"
)

var update = flag.Bool("update", false, "rewrite the golden file in testdata")

// Guards against changes to what clients and servers see: they match on error texts and on the bytes of replies and
// requests, so these and the parsed results must not change when the code is rewritten.
func TestParsedAndEncodedBytesMatchGoldenFile(t *testing.T) {
	var out strings.Builder
	for _, received := range []string{getCommand, getCommand + getCommand, getCommand[:30], "*1\r\n$4\r\nPING\r\n", "PING\r\n", "\r\n", "$3\r\nabc\r\n", "*0\r\n", "*-1\r\n", "*-3\r\n", "*+1\r\n$1\r\na\r\n",
		"*1\n", "*1\r\n$-1\r\n", "*1\r\n$-7\r\nx\r\n", "*1\r\n$3\r\nabcde", "*1\r\n:5\r\n", "*1\r\n*1\r\n$1\r\na\r\n", "*17\r\n", "*1\r\n$65537\r\n", "*3\r\n$65537\r\n",
		"*1\r\n$4194305\r\n", "*1\r\n$99999999999999999999\r\n", "*1\r\n!1\r\n", strings.Repeat("*", 2000), "\x89?d\xfcD\r\n\xcb%mq"} {
		arguments, length, err := ParseCommand([]byte(received))
		needed, _ := MinCommandLength([]byte(received))
		fmt.Fprintf(&out, "command %.60q: %q %d needs %d, %v\n", received, arguments, length, needed, err)
	}
	for _, list := range []string{"c=read,t=acme,d=480.5,k=5c,r=1,h=2500,size=9", "c=read,d=0", "", "c=read", "d=5", "c=read,d", "c=read,d=-1", "c=read,d=inf", "c=read,d=0x1p4",
		"c=read,d=1e3", "c=read,d=.5", "c=read,d=3600000", "c=read,d=3600001", "c=read,d=5,h=x", "c=read,c=book,d=5,d=6", "c=,d=5"} {
		a, err := ParseAttributes([]byte(list))
		fmt.Fprintf(&out, "fields %q: %q %q %d %d, %v\n", list, a.Workload, a.Tenant, a.TimeoutNanos, a.PredictedNanos, err)
	}
	long := strings.Repeat("k", maxArgumentBytes+1)
	for _, command := range []string{"HELLO 3", "C.GET k id", "C.GET k id c=read", "c.get k id c=read", "C.SET k id c=read", "C.SET k id c=read,x=1,d=7 v", "C.GET  id c=read",
		"C.GET k  c=read", "C.GET " + long + " id c=read", "C.GET k " + long + " c=read", "C.GET k id " + long} {
		var arguments [][]byte
		for _, word := range strings.Split(command, " ") {
			arguments = append(arguments, []byte(word))
		}
		verb, err := ParseRequest(arguments)
		isRequest, isSet, problem := verb.IsRequest(), verb == VerbSet, ""
		if err != nil {
			problem = err.Error()
		}
		fmt.Fprintf(&out, "retrieval %.40q: %t %t %q\n", command, isRequest, isSet, problem)
		if isRequest && problem == "" {
			message, tail := AppendRequest(nil, arguments, 100.2e6)
			fmt.Fprintf(&out, "  goes on as %q and %q\n", message, tail)
		}
	}
	ends := map[transport.End]string{transport.Open: "open", transport.Succeeded: "a value", transport.Failed: "an error", transport.Rejected: "busy", transport.Malformed: "garbled"}
	for _, received := range []string{"*3\r\n$1\r\nv\r\n$3\r\nhit\r\n$3\r\na=1\r\n", "*3\r\n$1\r\nv\r\n$4\r\nmiss\r\n$-1\r\n", "*3\r\n$0\r\n\r\n$7\r\npending\r\n$-1\r\n", "*3\r\n$1\r\nv\r\n$4\r\nelse\r\n$-1\r\n",
		"-BUSY\r\n", "-BUSY inflight=1\r\n", "-ERR failed\r\n", "-ERR failed a=1\r\n", "-ERR failedX\r\n", "-ERR\r\n", "+OK\r\n", ":5\r\n", "*3\r\n$-1\r\n$-1\r\n$-1\r\n", "*2\r\n$1\r\nv\r\n",
		"*3\r\n$1\r\nv", "$1\r\nv\r\n"} {
		r := ParseResponse([]byte(received))
		size, start := ParseLargeValueHeader([]byte(received))
		fmt.Fprintf(&out, "answer %q: %s %q %q %d %d, large %d %d\n", received, ends[r.End], r.Value, r.Report, r.CacheResult, r.Length, size, start)
	}
	size, start := ParseLargeValueHeader([]byte("*3\r\n$65537\r\nvv"))
	tail := ParseResponseTail([]byte("$3\r\nhit\r\n$3\r\na=1\r\n"))
	fmt.Fprintf(&out, "large %d %d, its rest %s %q %d %d\n", size, start, ends[tail.End], tail.Report, tail.CacheResult, tail.Length)
	for _, key := range []string{"00000000000000ff", "ff", "", "7f3a9c21e0b4d65g"} {
		fmt.Fprintf(&out, "key %q: %d\n", key, ParseKey([]byte(key)))
	}
	fmt.Fprintf(&out, "%q %q %q %q %q %q %q %q\n", AppendValue(nil, []byte("v")), AppendValue(nil, nil), AppendRejected(nil, 0), AppendRejected(nil, 1), AppendRejected(nil, 1500e6),
		AppendFailed(nil), AppendPong(nil), AppendError(nil, "why"))
	fmt.Fprintf(&out, "%q\n", AppendLargeValueHeader(nil, 70000))
	for _, line := range []string{list(`"Ready"`, 0), list(`"Gone"`, 1.5e12), list(`"Up"`, 0), list(`3`, -1), list(`"Ready"`, -1), "", "{}", "[]", `{"index":1,"snapshot":true,"endpoints":[3]}`,
		`{"index":1,"snapshot":true,"endpoints":[{"name":"a","status":"Ready"}]}`, strings.Replace(list(`"Ready"`, 5), "1.0", "-1", 1)} {
		parsed, err := ParseEndpointList([]byte(line))
		if err == nil {
			fmt.Fprintf(&out, "list %d %t\n", parsed.Index, parsed.IsSnapshot)
		}
		for _, e := range parsed.Endpoints {
			fmt.Fprintln(&out, "  entry", e.Name, e.Address, e.Status, e.StartedAtNanos, e.Kind, e.Zone, e.Group, e.Weight)
		}
		fmt.Fprintf(&out, "list %.40q: %v\n", line, err)
	}
	const path = "testdata/bytes.golden"
	if *update {
		if err := os.WriteFile(path, []byte(out.String()), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	if want, err := os.ReadFile(path); err != nil || !bytes.Equal(want, []byte(out.String())) {
		t.Errorf("output does not match %s (read error: %v); got\n%s", path, err, out.String())
	}
}
