package server

import (
	"encoding/json"
	"net"
	"os"
	"syscall"
	"testing"
)

// openListeningSocket opens a listening socket as the platform does, which holds it across processes.
func openListeningSocket(t *testing.T) *os.File {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	file, err := l.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	t.Cleanup(func() { file.Close() })
	return file
}

// Clients are connected to the old process of an upgrade: each has its reply from the process that accepted it, idle
// ones may send one more request, and the new process goes on accepting on the shared socket.
func TestUpgradeUnderLoad(t *testing.T) {
	t.Parallel()
	at, came := startHost(t)
	socket, shared := openListeningSocket(t), "TMPDIR="+t.TempDir()
	version := func() *program {
		file := configurationFile(t, map[string]any{"known": json.RawMessage(endpointList(0, true, listEntry("s", at, "Ready")))})
		cmd := programCommand(file, "LB_LISTEN_FD=3", shared, "LB_MGMT=127.0.0.1:0")
		cmd.ExtraFiles = []*os.File{socket}
		return startCommand(t, file, cmd)
	}
	old := version()
	out, idle, silent := old.connect().send("PING"), old.connect().send("PING"), old.connect().send("PING")
	for _, c := range []client{out, idle, silent} {
		c.expectReply("+PONG")
	}
	out.send("C.GET", "k", "a", "c=read,d=3000")
	h := receive(t, came, "the retrieval")
	young := version()
	if code, _ := young.adminRequest("GET", "/ready"); code != 200 {
		t.Fatalf("the new version is not ready: %d", code)
	}
	old.cmd.Process.Signal(syscall.SIGTERM)
	old.waitForLog(`"message":"stopping"`)
	if code, _ := old.adminRequest("GET", "/ready"); code != 503 {
		t.Errorf("ready after SIGTERM: %d", code)
	}
	idle.send("C.GET", "k", "b", "c=read,d=3000")
	receive(t, came, "what an idle client asks after SIGTERM").Reply(valueReply("once more"))
	idle.expectReply("once more")
	idle.expectClose()
	for range 20 { // All that come now are the new one's.
		c := old.connect().send("PING")
		c.expectReply("+PONG")
		c.send("PING") // A connection of the old one would have gone with its last answer.
		c.expectReply("+PONG")
		c.Close()
	}
	silent.expectClose()
	h.Reply(valueReply("the last"))
	out.expectReply("the last")
	out.expectClose()
	if err := receive(t, old.exited, "the end of the old version"); err != nil {
		t.Errorf("the old version ends with %v", err)
	}
	c := young.connect().send("C.GET", "k", "c", "c=read,d=3000")
	receive(t, came, "a retrieval at the new version").Reply(valueReply("served"))
	c.expectReply("served")
	young.cmd.Process.Signal(syscall.SIGTERM) // A planned restart: nobody accepts for a while, and nobody is refused.
	c.expectClose()
	if err := receive(t, young.exited, "the end of the new version"); err != nil {
		t.Errorf("the new version ends with %v", err)
	}
	waits := young.connect().send("PING")
	version()
	waits.expectReply("+PONG")
}
