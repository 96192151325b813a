package server

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"hollylever/fakes"
)

// kernelQueues returns how many bytes the kernel holds of a connection: not acknowledged at its other end, and not read at
// this end.
func kernelQueues(t *testing.T, c *net.TCPConn) (queued int) {
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		t.Fatal(err)
	}
	local, remote := c.LocalAddr().(*net.TCPAddr).Port, c.RemoteAddr().(*net.TCPAddr).Port
	for _, line := range strings.Split(string(table), "\n")[1:] {
		var number, address, localPort, remoteAddress, remotePort, state, unacknowledged, unread int
		fmt.Sscanf(line, "%d: %x:%x %x:%x %x %x:%x", &number, &address, &localPort, &remoteAddress, &remotePort, &state, &unacknowledged, &unread)
		if localPort == local && remotePort == remote {
			queued += unread
		}
		if localPort == remote && remotePort == local {
			queued += unacknowledged
		}
	}
	return queued
}

// The process is killed, as at the end of an upgrade, while a server reads a long idempotent write slowly. The client sends
// it again, and the server must not get the first one whole long after that: it may no longer drop it as a duplicate.
func TestKilledProcessLeavesNoWholeWrite(t *testing.T) {
	t.Parallel()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	accepted := make(chan *net.TCPConn, 1)
	go func() {
		if c, err := l.Accept(); err == nil {
			accepted <- c.(*net.TCPConn)
		}
	}()
	const length = 1 << 20
	p := startProgram(t, endpointList(0, true, listEntry("s", l.Addr().String(), "Ready")), nil)
	p.connect().send("C.SET", "k", "a", "c=report,d=3000,k=mark", strings.Repeat("v", length))
	c := receive(t, accepted, "the connection")
	defer c.Close()
	c.SetReadBuffer(16 << 10)
	for end := time.Now().Add(testTimeout); kernelQueues(t, c) < length; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the write does not get into the kernel")
		}
	}
	p.cmd.Process.Kill()
	receive(t, p.exited, "the end of the process")
	c.SetReadDeadline(time.Now().Add(testTimeout))
	if words, err := fakes.ReadMessage(bufio.NewReader(c)); err == nil {
		t.Errorf("the server gets all %d words of the write after the process has ended, want a part", len(words))
	}
}
