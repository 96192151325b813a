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

var update = flag.Bool("update", false, "rewrite the golden files in testdata")

// compareGolden compares got with a file in testdata.
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

// An endpoint that an operator ejected must stay ejected across an upgrade: the file's format must stay readable, and
// what is written must not change.
func TestEjectionFileFormatIsUnchanged(t *testing.T) {
	file := filepath.Join(t.TempDir(), "hollylever.bans")
	newBalancer := func() *Balancer {
		b, err := New(settings.Flatten(gjson.Parse(fakes.Settings)), []byte(fakes.List(1, true, fakes.Entry("a/1", "127.0.0.1:1", "Ready"), fakes.Entry("b", "127.0.0.1:2", "Ready"),
			fakes.Entry("ü<\"", "127.0.0.1:3", "Terminating"))), "", 1, transport.NewPool(8, time.Minute, time.Second), 1<<20, file, Previous{}, zerolog.Nop())
		if err != nil {
			t.Fatal(err)
		}
		return b
	}
	b := newBalancer()
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
	var ejected []string
	for _, h := range newBalancer().Hosts() {
		if h.ByHand {
			ejected = append(ejected, h.ID)
		}
	}
	if got := strings.Join(ejected, " "); got != "a/1 ü<\"" {
		t.Errorf("ejected: %q", got)
	}
}

// Clients decide by the text of a reply whether they may retry, and on which connection. A changed reply to malformed
// input would break them.
func TestRepliesToMalformedInputAreUnchanged(t *testing.T) {
	address := serveClients(t, newBalancerBefore(t, closedAddress(t), nil))
	var out strings.Builder
	for _, input := range []string{command("HELLO", "3"), command("C.GET", "k", "id"), command("C.GET", "k", "id", "c=novel,d=5"), command("C.GET", "k", "id", "c=read,d=soon"),
		command("C.GET", "k", "id", "c=read"), command("C.GET", "k", "", "c=read,d=5"), command("C.GET", "k", "id", "c=read,d=inf"), command("C.GET", strings.Repeat("k", 1000), "id", "c=read,d=5"),
		command("C.SET", "k", "id", "c=read,d=5"), command("C.GET", "k", "id", "c=read,d=5", "v"), command("C.GET", "k", "id", "c=read,d"), command("C.GET", "k", "id", ""), command("PING"),
		command("ping"), command("\x00\r\n"), command(strings.Repeat("x", 300)), "PING\r\n", "*1\r\n$-7\r\nx\r\n", "*3\r\n$65537\r\n", "*1000\r\n", "*1\r\n:5\r\n", "*0\r\n", "\r\n",
		"*1\r\n*1\r\n$1\r\na\r\n", "*1\r\n$5\r\nabcdefgh\r\n", "*+1\r\n$1\r\na\r\n", "\x89?d\xfcD\r\n\xcb%mq"} {
		c := dial(t, address)
		io.WriteString(c, input)
		reader := bufio.NewReader(c)
		answer, err := reader.ReadString('\n')
		c.CloseWrite() // Not earlier: a client that has closed its side gets no reply.
		rest, _ := io.ReadAll(reader)
		fmt.Fprintf(&out, "%.80q: %.200q %v %q\n", input, answer, err, rest)
		c.Close()
	}
	compareGolden(t, "bad_bytes.golden", []byte(out.String()))
}

func command(list ...string) string { return fakes.EncodeCommand(list...) }
