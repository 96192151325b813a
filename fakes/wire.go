// Package fakes stands in for what a balancer has around it, on real sockets of the loopback alone: cache hosts with
// one origin behind them, discovery, clients, neighbours on its core, and a platform that starts, stops and upgrades the
// program. Tests and experiments use it; what serves never imports it.
//
// Whatever is started here is ended by Close, and every load is bounded in count and time. What breaks a rule (an
// effect twice, a host sent to while it is ejected, a cold one overloaded, an answer that is another's) is noted where it is seen.
package fakes

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// Settings are a balancer's usual ones in the tests.
const Settings = `{"allowed":{"cancelling":true,"connIdle":5000,"dialTimeout":200,"mostHeld":20000,"mostTrips":3,
"secondCopies":true,"retryAfter":false},"balancers":1,"hostTypes":["std"],"zones":["z"],"registryMode":"subscribe",
"tenants":[{"name":"acme","quotaRps":100000}],"extra":{"mode":"through"},
"invariants":{"askEvery":10000,"drainGrace":2500,"startCapacity":0.2,"warmUp":20000,"fallMultiple":2.5,"tipAfter":3000},
"workloads":[
{"name":"read","effect":"free","group":"all","expectedTime":5000,"hardStop":3000,"value":1,"tardyValue":0.2},
{"name":"report","effect":"guarded","group":"all","dedupWindow":4000,"expectedTime":5000,"hardStop":3000,"value":1,"tardyValue":0.2},
{"name":"book","effect":"single_shot","group":"all","expectedTime":5000,"hardStop":3000,"value":1,"tardyValue":0.2}]}`

// mostMessage bounds a string that is read here.
const mostMessage = 8 << 20

// EncodeCommand is a command on the wire.
func EncodeCommand(list ...string) string {
	var out strings.Builder
	fmt.Fprintf(&out, "*%d\r\n", len(list))
	for _, word := range list {
		fmt.Fprintf(&out, "$%d\r\n%s\r\n", len(word), word)
	}
	return out.String()
}

// ValueReply is a host's answer that holds a value, found in its cache.
func ValueReply(value string) string { return valueReply(value, "hit") }

// ValueReplyStart is the beginning of a host's answer with a value of so many bytes.
func ValueReplyStart(size int) string { return fmt.Sprintf("*3\r\n$%d\r\n", size) }

func valueReply(value, how string) string {
	return fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n$-1\r\n", len(value), value, len(how), how)
}

// ReadMessage reads one message: its words, or the one line or string that it is.
func ReadMessage(in *bufio.Reader) ([]string, error) {
	line, err := in.ReadString('\n')
	if err != nil {
		return nil, err
	}
	if line = strings.TrimRight(line, "\r\n"); line == "" {
		return nil, fmt.Errorf("an empty line")
	}
	n, _ := strconv.Atoi(line[1:])
	if n > mostMessage {
		return nil, fmt.Errorf("a message of %d", n)
	}
	switch line[0] {
	case '$':
		if n < 0 {
			return nil, nil
		}
		text := make([]byte, n+2)
		if _, err := io.ReadFull(in, text); err != nil {
			return nil, err
		}
		return []string{string(text[:n])}, nil
	case '*':
		var words []string
		for range n {
			word, err := ReadMessage(in)
			if err != nil {
				return nil, err
			}
			words = append(words, word...)
		}
		return words, nil
	}
	return []string{line}, nil
}
