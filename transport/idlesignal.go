package transport

import (
	"os"
	"runtime"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// maxIdleWait bounds the wait for the process to be idle. The runtime polls the network at least that often, however
	// busy the process is.
	maxIdleWait = 10 * time.Millisecond
	// idleSleep is how long the process sleeps for the runtime to poll the network, where there is no event descriptor.
	idleSleep = time.Millisecond
)

// idleSignal waits until the process has nothing to do. The runtime polls the network only when no goroutine can run, so
// a goroutine that waits for an event on a descriptor continues after all others that could run. It is not safe for
// concurrent use.
type idleSignal struct {
	event *os.File // an event descriptor; nil: there is none
	raw   syscall.RawConn
}

// newIdleSignal returns an idleSignal. Close must be called.
func newIdleSignal() *idleSignal {
	descriptor, err := unix.Eventfd(0, unix.EFD_NONBLOCK|unix.EFD_CLOEXEC)
	if err != nil {
		return &idleSignal{}
	}
	event := os.NewFile(uintptr(descriptor), "idle signal")
	raw, err := event.SyscallConn()
	if err != nil || event.SetReadDeadline(time.Time{}) != nil { // The runtime does not poll it.
		event.Close()
		return &idleSignal{}
	}
	return &idleSignal{event: event, raw: raw}
}

// wait waits until the process has been idle, at most for about twice a time, and reports whether it has: then all
// goroutines have run that could, and those for which something had arrived from the network.
func (s *idleSignal) wait(most time.Duration) (isIdle bool) {
	if s.event == nil {
		runtime.Gosched()
		time.Sleep(idleSleep)
		runtime.Gosched()
		return true
	}
	if err := s.waitForEvent(most); err != nil {
		return false
	}
	return s.waitForEvent(most) == nil // The goroutines that the runtime found ready together with this one have run by then.
}

// waitForEvent raises an event and waits until the runtime has polled it, at most for a time.
func (s *idleSignal) waitForEvent(most time.Duration) error {
	if err := s.event.SetReadDeadline(time.Now().Add(most)); err != nil {
		return err
	}
	isRaised := false
	var raiseErr error
	err := s.raw.Read(func(descriptor uintptr) bool {
		if isRaised {
			return true
		}
		isRaised = true
		one := [8]byte{1}
		_, raiseErr = unix.Write(int(descriptor), one[:])
		return raiseErr != nil
	})
	if raiseErr != nil {
		return raiseErr
	}
	return err
}

func (s *idleSignal) close() {
	if s.event != nil {
		s.event.Close()
	}
}
