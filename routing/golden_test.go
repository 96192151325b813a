package routing

import (
	"bufio"
	"bytes"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/tidwall/gjson"

	"hollylever/fakes"
	"hollylever/settings"
	"hollylever/transport"
)

var update = flag.Bool("update", false, "write testdata anew")

// compareGolden compares what is given with a file of testdata.
func compareGolden(t *testing.T, name string, got []byte) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		if err := os.WriteFile(path, got, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	if want, err := os.ReadFile(path); err != nil || !bytes.Equal(got, want) {
		t.Errorf("%s: %v; got\n%s", path, err, got)
	}
}

// An endpoint that an operator has ejected must stay ejected over an upgrade: the file's form has to stay readable,
// and what is written the same.
func TestHostsOutByHandAreReadAndWrittenAsBefore(t *testing.T) {
	file := filepath.Join(t.TempDir(), "hollylever.bans")
	made := func() *Balancer {
		b, err := New(settings.Flatten(gjson.Parse(fakes.Settings)), []byte(fakes.List(1, true, fakes.Entry("a/1", "127.0.0.1:1", "Ready"), fakes.Entry("b", "127.0.0.1:2", "Ready"),
			fakes.Entry("ü<\"", "127.0.0.1:3", "Terminating"))), "", 1, transport.NewPool(8, time.Minute, time.Second), 1<<20, file, nil, zerolog.Nop())
		if err != nil {
			t.Fatal(err)
		}
		return b
	}
	b := made()
	for _, name := range []string{"ü<\"", "b", "a/1"} {
		if err := b.Ban(name, true); err != nil {
			t.Fatal(err)
		}
	}
	if err := b.Ban("b", false); err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	compareGolden(t, "hollylever.bans", text)
	fixture, _ := os.ReadFile("testdata/hollylever.bans")
	if err := os.WriteFile(file, fixture, 0o600); err != nil {
		t.Fatal(err)
	}
	var out []string
	for _, h := range made().Hosts() {
		if h.ByHand {
			out = append(out, h.ID)
		}
	}
	if got := strings.Join(out, " "); got != "a/1 ü<\"" {
		t.Errorf("ejected: %q", got)
	}
}

// Clients tell by the words of an answer whether they may ask again, and on which connection: an answer to bad bytes
// that changes breaks them.
func TestAnswersToBadBytesAreAsBefore(t *testing.T) {
	at := serveClients(t, newBalancerBefore(t, closedAddress(t), nil))
	var out strings.Builder
	for _, bytes := range []string{command("HELLO", "3"), command("C.GET", "k", "id"), command("C.GET", "k", "id", "c=novel,d=5"), command("C.GET", "k", "id", "c=read,d=soon"),
		command("C.GET", "k", "id", "c=read"), command("C.GET", "k", "", "c=read,d=5"), command("C.GET", "k", "id", "c=read,d=inf"), command("C.GET", strings.Repeat("k", 1000), "id", "c=read,d=5"),
		command("C.SET", "k", "id", "c=read,d=5"), command("C.GET", "k", "id", "c=read,d=5", "v"), command("C.GET", "k", "id", "c=read,d"), command("C.GET", "k", "id", ""), command("PING"),
		command("ping"), command("\x00\r\n"), command(strings.Repeat("x", 300)), "PING\r\n", "*1\r\n$-7\r\nx\r\n", "*3\r\n$65537\r\n", "*1000\r\n", "*1\r\n:5\r\n", "*0\r\n", "\r\n",
		"*1\r\n*1\r\n$1\r\na\r\n", "*1\r\n$5\r\nabcdefgh\r\n", "*+1\r\n$1\r\na\r\n", "\x89?d\xfcD\r\n\xcb%mq"} {
		c := dial(t, at)
		io.WriteString(c, bytes)
		in := bufio.NewReader(c)
		answer, err := in.ReadString('\n')
		c.CloseWrite() // Not before: whoever has gone is answered nothing.
		rest, _ := io.ReadAll(in)
		fmt.Fprintf(&out, "%.80q: %.200q %v %q\n", bytes, answer, err, rest)
		c.Close()
	}
	compareGolden(t, "bad_bytes.golden", []byte(out.String()))
}

func command(list ...string) string { return fakes.Words(list...) }
