package server

import (
	"io"
	"net"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// A client reads and writes: the cache host gets each request with the time that is left, and its reply goes back. A
// command with a mistake gets an error and the connection goes on; bytes that are no command get an error and the end
// of the connection.
func TestServesRequests(t *testing.T) {
	at, came := startHost(t)
	p := startProgram(t, endpointList(0, true, listEntry("s", at, "Ready")), nil)
	c := p.connect().send("PING")
	c.expectReply("+PONG")
	c.send("C.GET", "7f3a9c21e0b4d655", "9b1f03aa5c7e2d41", "c=read,t=acme,d=3000,r=1,h=250,size=7")
	h := receive(t, came, "the retrieval")
	wait, _ := strconv.Atoi(strings.TrimSuffix(strings.TrimPrefix(h.Words[3], "c=read,t=acme,d="), ",r=1,h=250,size=7"))
	if h.Words[0] != "C.GET" || h.Words[1] != "7f3a9c21e0b4d655" || h.Words[2] != "9b1f03aa5c7e2d41" || wait < 1 || wait > 3000 {
		t.Fatalf("the host is sent %q", h.Words)
	}
	h.Reply(valueReply("a value"))
	c.expectReply("a value")
	big := strings.Repeat("v", 64<<10)
	c.send("C.SET", "not hex", "id2", "c=report,t=nobody,d=3000,k=5c0f", big)
	h = receive(t, came, "the write")
	if len(h.Words) != 5 || h.Words[4] != big || !strings.HasSuffix(h.Words[3], ",k=5c0f") {
		t.Fatalf("the host is sent %.100q", h.Words)
	}
	h.Reply(valueReply(big))
	c.expectReply(big)
	for _, bad := range []struct{ command, want string }{
		{encodeCommand("HELLO", "3"), `-ERR unknown command "HELLO"`},
		{encodeCommand("C.GET", "k", "id"), "-ERR wrong number of words"},
		{encodeCommand("C.GET", "k", "id", "c=novel,d=5"), "-ERR unknown workload"},
		{encodeCommand("C.GET", "k", "id", "c=read,d=soon"), "-ERR the list of names and values is malformed"},
		{encodeCommand("C.GET", "k", "id", "c=read"), "-ERR the list needs a workload in c and a time in d"},
		{encodeCommand("C.GET", "k", "", "c=read,d=5"), "-ERR a key or an id is missing"},
		{encodeCommand("C.GET", "k", "id", "c=read,d=inf"), "-ERR the list of names and values is malformed"},
		{encodeCommand("C.GET", strings.Repeat("k", 1000), "id", "c=read,d=5"), "-ERR a key, an id or a list is too long"},
	} {
		io.WriteString(c, bad.command)
		c.expectReply(bad.want)
	}
	c.send("PING").expectReply("+PONG")
	for _, bad := range []struct{ bytes, want string }{
		{"PING\r\n", "-ERR protocol: a command is an array of bulk strings"},
		{"*1\r\n$-7\r\nx\r\n", "-ERR protocol: malformed message"},
		{"*3\r\n$65537\r\n", "-ERR protocol: length out of bounds"},
		{"*1000\r\n", "-ERR protocol: length out of bounds"},
		{encodeCommand("C.SET", "k", "id", "c=read,d=5", strings.Repeat("v", 1<<23)), "-ERR protocol: length out of bounds"},
		{encodeCommand("C.SET", "k", "id", strings.Repeat("v", 60000), strings.Repeat("v", 60000)), "-ERR protocol: length out of bounds"},
		{"*1\r\n:5\r\n", "-ERR protocol: a command is an array of bulk strings"},
	} {
		c := p.connect()
		io.WriteString(c, bad.bytes)
		c.expectReply(bad.want)
		if rest, err := io.ReadAll(c.in); err != nil || len(rest) > 0 { // Not reset: that could take the answer with it.
			t.Errorf("%.20q: the connection ends with %q, %v", bad.bytes, rest, err)
		}
	}
	expectNoCommand(t, came)
}

// A client sends commands without waiting for replies, more than are handled side by side, and hosts reply in another
// order: the client gets the replies in the order of its commands.
func TestRepliesKeepTheOrderOfCommands(t *testing.T) {
	at, came := startHost(t)
	c := startProgram(t, endpointList(0, true, listEntry("s", at, "Ready")), nil).connect()
	const many = 200 // more than are answered side by side
	go func() {
		for n := range many {
			c.send("C.GET", "k"+strconv.Itoa(n), "id"+strconv.Itoa(n), "c=read,t=acme,d=10000")
		}
	}()
	var first []command
	for range 5 { // What is asked side by side is answered the other way round.
		first = append(first, receive(t, came, "a pipelined retrieval"))
	}
	slices.Reverse(first)
	for _, h := range first {
		h.Reply(valueReply(h.Words[1]))
	}
	done := make(chan struct{})
	defer close(done)
	go func() {
		for {
			select {
			case h := <-came:
				h.Reply(valueReply(h.Words[1]))
			case <-done:
				return
			}
		}
	}()
	for n := range many {
		got, err := readMessage(c.in)
		if err != nil || got[0] != "k"+strconv.Itoa(n) && got[0] != "-BUSY" {
			t.Fatalf("answer %d is %q, %v", n, got, err)
		}
	}
}

// An attempt ends in each way that it can, for a request that may run only once: it is retried, or rejected, only if it
// never ran.
func TestEveryOutcomeOfAnAttempt(t *testing.T) {
	for _, row := range []struct {
		name, list, want string
		answer           func(command)
		trips            int // 0: any number
	}{
		{"settled", "c=book,t=acme,d=3000", "v", func(c command) { c.Reply(valueReply("v")) }, 1},
		{"error", "c=book,t=acme,d=3000", "-ERR given up", func(c command) { c.Reply("-ERR failed inflight=1,util=0.5\r\n") }, 1},
		{"turned away", "c=book,t=acme,d=200", "-BUSY", func(c command) { c.Reply("-BUSY\r\n") }, 0},
		{"turned away with a report", "c=book,t=acme,d=200", "-BUSY", func(c command) { c.Reply("-BUSY inflight=1,util=0.5\r\n") }, 0},
		{"reset", "c=book,t=acme,d=3000", "-ERR given up", func(c command) { c.SetLinger(0); c.Close() }, 1},
		{"ends", "c=book,t=acme,d=3000", "-ERR given up", func(c command) { c.Close() }, 1},
		{"ends amid the answer", "c=book,t=acme,d=3000", "-ERR given up", func(c command) { c.Reply("*3\r\n$5\r\nab"); c.Close() }, 1},
		{"begins and does not end", "c=book,t=acme,d=3000", "-ERR given up", func(c command) { c.Reply("*3\r\n$50\r\nab") }, 1},
		{"an error line of its own", "c=book,t=acme,d=3000", "-ERR given up", func(c command) { c.Reply("-SYNTAX\r\n") }, 1},
		{"garbled", "c=book,t=acme,d=3000", "-ERR given up", func(c command) { c.Reply("HTTP/1.1 400 Bad Request\r\n") }, 1},
		{"a null for a value", "c=book,t=acme,d=3000", "-ERR given up", func(c command) { c.Reply("*3\r\n$-1\r\n$3\r\nhit\r\n$-1\r\n") }, 1},
		{"too long", "c=book,t=acme,d=3000", "-ERR given up", func(c command) { c.Reply("*3\r\n$4194305\r\n") }, 1},
		{"silent", "c=book,t=acme,d=500", "-ERR given up", func(c command) {}, 1},
		{"a silent read", "c=read,t=acme,d=500", "-BUSY", func(c command) {}, 1},
	} {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			at, came := startHost(t)
			p := startProgram(t, endpointList(0, true, listEntry("s", at, "Ready")), nil)
			c := p.connect().send("C.SET", "k", "id", row.list, "v")
			answered := make(chan struct{})
			trips := make(chan int, 1)
			go func() {
				n := 0
				for {
					select {
					case h := <-came:
						n++
						row.answer(h)
					case <-answered:
						trips <- n
						return
					}
				}
			}()
			c.expectReply(row.want)
			close(answered)
			if n := <-trips; n == 0 || row.trips > 0 && n != row.trips {
				t.Errorf("%d trips", n)
			}
			expectNoCommand(t, came)
		})
	}
	t.Run("refused", func(t *testing.T) {
		l, _ := net.Listen("tcp", "127.0.0.1:0")
		l.Close()
		p := startProgram(t, endpointList(0, true, listEntry("s", l.Addr().String(), "Ready")), nil)
		p.connect().send("C.SET", "k", "id", "c=book,t=acme,d=100", "v").expectReply("-BUSY")
	})
}

// The host closes each connection while it is idle: no request that may be sent only once is sent on one of them.
func TestStaleConnectionIsNotReused(t *testing.T) {
	at, came := startHost(t)
	c := startProgram(t, endpointList(0, true, listEntry("s", at, "Ready")), nil).connect()
	for n := range 20 {
		c.send("C.SET", "k", strconv.Itoa(n), "c=book,t=acme,d=3000", "v")
		h := receive(t, came, "the write")
		h.Reply(valueReply("v"))
		h.Close()
		c.expectReply("v")
	}
}
