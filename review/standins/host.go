package standins

import (
	"bufio"
	"net"
	"sync"
)

// Command is what a cache host was sent: its last byte has come.
type Command struct {
	Host  *Host
	Words []string // verb, key, id, list, and the value of a write
	Conn  net.Conn
}

// Verb returns the first word.
func (c *Command) Verb() string { return c.Words[0] }

// Key, ID and List return the further words, empty where there are none.
func (c *Command) Key() string  { return c.word(1) }
func (c *Command) ID() string   { return c.word(2) }
func (c *Command) List() string { return c.word(3) }

// Value returns the value of a write.
func (c *Command) Value() string { return c.word(4) }

func (c *Command) word(n int) string {
	if n < len(c.Words) {
		return c.Words[n]
	}
	return ""
}

// Host is a cache host. Commands of one connection are begun at once and answered in their order.
type Host struct {
	Name, Address string
	record        *Record
	listener      net.Listener
	accept        func(net.Conn) net.Conn
}

// Answer is what Served, Failed or Busy give; an empty one ends the connection.
type Answer string

// Answers of a cache host.
const (
	Failed Answer = "-ERR failed\r\n"
	Busy   Answer = "-BUSY\r\n"
	Reset  Answer = ""
)

// Served is the answer with a value.
func Served(value string) Answer {
	return Answer("*3\r\n" + string(Encode(value)[4:]) + "$3\r\nhit\r\n$-1\r\n")
}

// StartHost starts one. run is called once the last byte of a C.GET or C.SET has come, and may take its time. accept, if
// not nil, may wrap each connection, to read slowly.
func StartHost(r *Record, name string, accept func(net.Conn) net.Conn, run func(*Command) Answer) *Host {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		CannotRun(err)
	}
	h := &Host{Name: name, Address: listener.Addr().String(), record: r, listener: listener, accept: accept}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go h.serve(conn, run)
		}
	}()
	return h
}

func (h *Host) serve(raw net.Conn, run func(*Command) Answer) {
	conn := raw
	if h.accept != nil {
		conn = h.accept(raw)
	}
	answers := make(chan chan Answer, 128)
	var ending sync.Once
	go func() {
		for answer := range answers {
			text := <-answer
			if text == Reset {
				ending.Do(func() { reset(raw) })
				continue
			}
			_, _ = raw.Write([]byte(text))
		}
	}()
	defer close(answers)
	reader := bufio.NewReader(conn)
	for {
		words, err := ReadCommand(reader)
		if err != nil {
			ending.Do(func() { raw.Close() })
			return
		}
		answer := make(chan Answer, 1)
		answers <- answer
		c := &Command{Host: h, Words: words, Conn: raw}
		switch c.Verb() {
		case "PING":
			answer <- "+PONG\r\n"
		case "CLIENT", "SELECT":
			answer <- "+OK\r\n"
		case "C.GET", "C.SET":
			h.record.Printf("%s begins  %s key=%s id=%s list=%s value=%s", h.Name, c.Verb(), c.Key(), c.ID(), c.List(), Short(c.Value()))
			go func() {
				text := run(c)
				h.record.Printf("%s answers id=%s: %s", h.Name, c.ID(), Short(string(text)))
				answer <- text
			}()
		default:
			answer <- "-ERR\r\n"
		}
	}
}

// reset ends a connection with a reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	conn.Close()
}

// Short is a text cut for the record.
func Short(text string) string {
	if text == "" {
		return "(none)"
	}
	out := []byte{}
	for i := 0; i < len(text) && i < 48; i++ {
		c := text[i]
		if c < ' ' {
			c = ' '
		}
		out = append(out, c)
	}
	if len(text) > 48 {
		out = append(out, []byte("...")...)
	}
	return string(out)
}
