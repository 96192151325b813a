package server

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"testing"
)

// Clients send what is no command, break off, or send too much: each gets an error or a close and no value, and an
// ordinary client is served beside them.
func TestMalformedClientsGetNoValue(t *testing.T) {
	t.Parallel()
	at, came := startHost(t)
	p := startProgram(t, endpointList(0, true, listEntry("s", at, "Ready")), map[string]any{"limits": map[string]any{"cores": 0.3, "memory_mb": 32, "sockets": 256}})
	usual := p.connect().send("C.GET", "k", "open", "c=book,t=acme,d=20000")
	h := receive(t, came, "the retrieval")
	good := encodeCommand("C.GET", "k", "id", "c=read,t=acme,d=3000")
	done := make(chan string)
	for name, text := range map[string]string{
		"silence": "", "half a command": good[:40], "a line without end": strings.Repeat("k", 1<<20),
		"noise": "\x89?d\xfcD\r\n\xcb%mq", "nested": strings.Repeat("*1\r\n", 5000), "a negative number": "*-3\r\n",
		"a huge number": "*1000000000\r\n", "a wrong length": "*4\r\n$5\r\nC.GET\r\n$1\r\nabcdefgh\r\n",
		"a negative length":   "*4\r\n$5\r\nC.GET\r\n$-4\r\nabcd\r\n",
		"60 MB":               "*5\r\n$5\r\nC.SET\r\n$1\r\nk\r\n$1\r\ni\r\n$10\r\nc=read,d=5\r\n$62914560\r\n" + strings.Repeat("v", 60<<20),
		"an unknown workload": encodeCommand("C.GET", "k", "id", "c=novel,d=5"), "a time that is none": encodeCommand("C.GET", "k", "id", "c=read,d=soon"),
		"a time that is too long": encodeCommand("C.GET", "k", "id", "c=read,d=99999999999999999999"), "no id": encodeCommand("C.GET", "k"),
		"an open id": encodeCommand("C.GET", "k", "open", "c=read,d=3000"), "hundreds at once": strings.Repeat(encodeCommand("C.GET", "k", "id", "c=novel,d=5"), 500),
	} {
		go func() {
			for range 3 { // The same again as soon as it is turned away.
				c := p.connect()
				go io.WriteString(c, text)
				line, err := c.in.ReadString('\n')
				if err == nil && !strings.HasPrefix(line, "-ERR ") {
					t.Errorf("%s is answered %q", name, line)
				}
				if err != nil && errors.Is(err, os.ErrDeadlineExceeded) {
					t.Errorf("%s has neither an error nor a close", name)
				}
				c.Close()
			}
			done <- name
		}()
	}
	for range 16 {
		receive(t, done, "the end of a bad client")
	}
	expectNoCommand(t, came)
	h.Reply(valueReply("v"))
	usual.expectReply("v")
	usual.send("PING").expectReply("+PONG")
}

// A client disconnects while its request is at a cache host: that connection is closed, and no other host gets the
// request.
func TestAttemptIsCancelledWhenItsClientDisconnects(t *testing.T) {
	at, came := startHost(t)
	p := startProgram(t, endpointList(0, true, listEntry("s", at, "Ready")), nil)
	c := p.connect().send("C.GET", "k", "1", "c=read,t=acme,d=3000")
	h := receive(t, came, "the retrieval")
	c.Close()
	receive(t, h.Ended, "the end of the connection of a trip whose client has gone")
	expectNoCommand(t, came)
	p.connect().send("PING").expectReply("+PONG")
}

// A client sends half a command, and nothing is sent for it until the rest comes. Then sixty clients ask for large
// values and read none of them: the memory stays within the limit.
func TestHalfACommandAndSlowReaders(t *testing.T) {
	at, came := startHost(t)
	p := startProgram(t, endpointList(0, true, listEntry("s", at, "Ready")), nil)
	whole := encodeCommand("C.GET", "k", "1", "c=read,t=acme,d=3000")
	c := p.connect()
	io.WriteString(c, whole[:len(whole)-5])
	p.connect().send("PING").expectReply("+PONG")
	expectNoCommand(t, came)
	io.WriteString(c, whole[len(whole)-5:])
	receive(t, came, "the retrieval").Reply(valueReply("v"))
	c.expectReply("v")

	// Clients that ask for large values and read none of them until all have asked.
	big := valueReply(strings.Repeat("v", 64<<10))
	done := make(chan struct{})
	defer close(done)
	go func() {
		for {
			select {
			case h := <-came:
				go h.Reply(big)
			case <-done:
				return
			}
		}
	}()
	var slow []client
	const each = 60
	for range 60 {
		c := p.connect()
		slow = append(slow, c)
		for n := range each {
			c.send("C.GET", "k", fmt.Sprint(len(slow), "-", n), "c=read,t=acme,d=3000")
		}
	}
	for _, c := range slow {
		for range each {
			got, err := readMessage(c.in)
			if err != nil || len(got[0]) != 64<<10 && got[0] != "-BUSY" {
				t.Fatalf("%.60q, %v", got, err)
			}
		}
	}
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	_, peak, _ := bytes.Cut(status, []byte("VmHWM:"))
	kb, _ := strconv.Atoi(strings.Fields(string(peak))[0])
	t.Logf("the most memory was %d kB", kb)
	if kb == 0 || kb > 192<<10 {
		t.Fatalf("the most memory was %d kB", kb)
	}
}
