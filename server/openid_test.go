package server

import (
	"fmt"
	"strings"
	"syscall"
	"testing"
)

// secondBooking is what a second client sends under the ID of a booking.
type secondBooking struct {
	class, fields, value string
}

var firstBooking = secondBooking{"book", "t=acme,d=1000", "v"}

// secondBookings are requests that a client without an ID of its own may send, one like the first and others.
var secondBookings = map[string]secondBooking{
	"same":          firstBooking,
	"tenant":        {"book", "t=other,d=1000", "v"},
	"value":         {"book", "t=acme,d=1000", "w"},
	"k":             {"book", "t=acme,d=1000,k=5c", "v"},
	"tenant, value": {"book", "t=other,d=1000", "w"},
	"class":         {"report", "t=acme,d=1000", "v"},
}

// bookAs sends a booking under an ID.
func (c client) bookAs(id string, b secondBooking) client {
	return c.send("C.SET", "k-"+id, id, "c="+b.class+","+b.fields, b.value)
}

// expectError reads a reply and fails the test unless it is an error line, which promises nothing of the effect.
func (c client) expectError(name string) {
	c.t.Helper()
	if got, err := readMessage(c.in); err != nil || !strings.HasPrefix(got[0], "-ERR") {
		c.t.Errorf("%s: the reply is %q, %v; want an error", name, got, err)
	}
}

// Clients send the IDs of other clients' open bookings: they were served with the receipts of these, and what they had asked for
// never ran. They get an error, and the first clients their own receipts, at one process and at the other of an upgrade.
func TestIDOfAnOpenBookingIsRefused(t *testing.T) {
	for _, isOther := range []bool{false, true} {
		t.Run(fmt.Sprint("other process ", isOther), func(t *testing.T) {
			t.Parallel()
			host := startBookingHosts(t)
			old, firsts, young := startUpgrade(t, host, len(secondBookings))
			replies, seconds := map[string]string{}, map[string]client{}
			for id := range secondBookings {
				firsts[len(replies)].bookAs(id, firstBooking)
				replies[id] = id + " run 1"
			}
			waitUntil(t, "all bookings are at the hosts", func() bool { return host.count() >= len(replies) })
			ends := young
			if isOther {
				ends = old
			}
			ends.cmd.Process.Signal(syscall.SIGTERM) // It accepts no client any more.
			ends.waitForLog(`"message":"stopping"`)
			for id, booking := range secondBookings {
				seconds[id] = young.connect().bookAs(id, booking)
			}
			for id, second := range seconds {
				second.expectError(id)
			}
			for _, first := range firsts {
				got, err := readMessage(first.in)
				if err != nil || !strings.HasSuffix(got[0], " run 1") {
					t.Errorf("the first reply is %q, %v", got, err)
				}
			}
			host.check(t, replies)
		})
	}
}

// Another request comes under the ID of a booking whose client has its receipt, or has left: it must not get that receipt.
func TestAnotherRequestOfAnIDIsNotServedItsReceipt(t *testing.T) {
	for name, leave := range map[string]func(client, string){
		"answered": func(c client, id string) { c.expectReply(id + " run 1") },
		"left":     func(c client, _ string) { c.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			host := startBookingHosts(t)
			p := startProgram(t, endpointList(0, true, host.entries...), nil)
			for other, booking := range secondBookings {
				if booking == firstBooking || booking.class != firstBooking.class {
					continue
				}
				first := p.connect().bookAs(other, firstBooking)
				waitUntil(t, "the booking is at its host", func() bool { return host.runsOf(other) > 0 })
				leave(first, other)
				p.connect().bookAs(other, booking).expectError(other)
				p.connect().bookAs(other, firstBooking).expectReply(other + " run 1")
			}
		})
	}
}
