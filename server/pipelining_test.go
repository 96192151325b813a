package server

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"
)

// What a usual client that sends hundreds of requests at once does, and the deadline of each.
const (
	pipelined         = 300
	pipelinedDeadline = 400 * time.Millisecond
	pipelinedRounds   = 8
	busyProcesses     = 3 // on the program's processor
)

// A client sends hundreds of requests at once to a program that gets a quarter of a processor: it has its replies in time. Seen
// before: it waited for a turn, and each turn for the processor, until some of its requests were rejected.
func TestHundredsOfRequestsAtOnceAreAnsweredOnASharedProcessor(t *testing.T) {
	p := startCrowded(t, crowd{isShared: true})
	for range busyProcesses - 1 {
		t.Cleanup(p.startBusyLoop(t))
	}
	refused := 0
	for round := range pipelinedRounds {
		c := p.connect()
		var text strings.Builder
		for n := range pipelined {
			id := fmt.Sprint(round, "-", n)
			text.WriteString(encodeCommand("C.GET", id, id, fmt.Sprintf("c=read,t=acme,d=%d", pipelinedDeadline.Milliseconds())))
		}
		sent := time.Now()
		go io.WriteString(c, text.String())
		for n := range pipelined {
			got, err := readMessage(c.in)
			if err != nil || time.Since(sent) > pipelinedDeadline+answerSlack {
				t.Fatalf("round %d, reply %d: %q, %v after %v", round, n, got, err, time.Since(sent))
			}
			if got[0] != "v" {
				refused++
			}
		}
		c.Close()
	}
	if refused > pipelinedRounds*pipelined/100 {
		t.Errorf("%d of %d requests are refused, want one in a hundred at most", refused, pipelinedRounds*pipelined)
	}
}
