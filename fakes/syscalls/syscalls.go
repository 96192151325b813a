// Package syscalls makes system calls of a process that a test has started fail as Linux documents, for a moment and by chance. The
// process asks for it itself (Install), by a filter of its own (seccomp with user notification, which takes no rights); the test
// answers each notified call with an error, or has it go on. For tests alone.
package syscalls

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"sync"
	"unsafe"

	"golang.org/x/sys/unix"
)

// AtFirst and a number, from 0 on, is the name of a rule that Start was given.
const AtFirst = "at first "

// Variable names the descriptor over which a process hands its notifications to the test.
const Variable = "HOLLYLEVER_TEST_SYSCALLS_FD"

// Rule is which calls fail, with which errors.
type Rule struct {
	Calls  []int
	Errors []unix.Errno
}

// The ways in which calls fail.
var (
	Accepts = Rule{[]int{unix.SYS_ACCEPT4}, []unix.Errno{unix.ECONNABORTED, unix.ENFILE, unix.EMFILE, unix.ENOBUFS, unix.ENOMEM, unix.EINTR}}
	Sockets = Rule{[]int{unix.SYS_SOCKET}, []unix.Errno{unix.ENFILE, unix.ENOBUFS, unix.ENOMEM}}
	Connect = Rule{[]int{unix.SYS_CONNECT}, []unix.Errno{unix.EADDRNOTAVAIL, unix.ENETUNREACH, unix.ENOBUFS}}
	Signals = Rule{[]int{unix.SYS_READ, unix.SYS_WRITE, unix.SYS_ACCEPT4, callPoll, unix.SYS_RECVFROM}, []unix.Errno{unix.EINTR}}
)

// Opens are those of files by the Go runtime and library.
var Opens = Rule{[]int{unix.SYS_OPENAT}, []unix.Errno{unix.ENFILE, unix.EMFILE}}

// Polls are the runtime's waits for readiness and reads that leave the bytes in the kernel.
var Polls = Rule{[]int{callPoll, unix.SYS_RECVFROM}, []unix.Errno{unix.EINTR}}

// Syncs fail as those of a disk do.
var Syncs = Rule{[]int{unix.SYS_FSYNC}, []unix.Errno{unix.EIO, unix.ENOSPC}}

var watched = []int{unix.SYS_FSYNC, unix.SYS_OPENAT, unix.SYS_ACCEPT4, unix.SYS_SOCKET, unix.SYS_CONNECT, unix.SYS_READ, unix.SYS_WRITE, callPoll, unix.SYS_RECVFROM}

const (
	offsetOfCall = 0
	offsetOfArch = 4

	setModeFilter   = 1
	flagTSync       = 1
	flagNewListener = 8
	flagTSyncESRCH  = 16
	returnNotify    = 0x7fc00000
	returnAllow     = 0x7fff0000

	notifyReceive  = 0xc0502100
	notifySend     = 0xc0182101
	notifyContinue = 1
)

// notification and response are the kernel's structures.
type notification struct {
	id    uint64
	pid   uint32
	flags uint32
	call  int32
	arch  uint32
	ip    uint64
	args  [6]uint64
}

type response struct {
	id    uint64
	value int64
	errno int32
	flags uint32
}

// Install has the calls of this process notified, if the test that started it has asked for that. It is called first of all.
func Install() error {
	number, err := strconv.Atoi(os.Getenv(Variable))
	if err != nil {
		return nil
	}
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	if err := unix.Prctl(unix.PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0); err != nil {
		return fmt.Errorf("no_new_privs: %w", err)
	}
	filter := program()
	fprog := unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]}
	listener, _, errno := unix.Syscall(unix.SYS_SECCOMP, setModeFilter, flagTSync|flagNewListener|flagTSyncESRCH, uintptr(unsafe.Pointer(&fprog)))
	if errno != 0 {
		return fmt.Errorf("seccomp: %w", errno)
	}
	if err := unix.Sendmsg(number, []byte{0}, unix.UnixRights(int(listener)), nil, 0); err != nil {
		return fmt.Errorf("handing the notifications over: %w", err)
	}
	unix.Close(int(listener))
	return unix.Close(number)
}

// program is the filter: the watched calls are notified, all others go on.
func program() []unix.SockFilter {
	filter := []unix.SockFilter{
		{Code: unix.BPF_LD | unix.BPF_W | unix.BPF_ABS, K: offsetOfArch},
		{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, Jt: 1, K: auditArch},
		{Code: unix.BPF_RET | unix.BPF_K, K: returnAllow},
		{Code: unix.BPF_LD | unix.BPF_W | unix.BPF_ABS, K: offsetOfCall},
	}
	for n, call := range watched {
		filter = append(filter, unix.SockFilter{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, Jt: uint8(len(watched) - n), K: uint32(call)})
	}
	return append(filter, unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: returnAllow}, unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: returnNotify})
}

// Faults answers the notifications of one process.
type Faults struct {
	mu       sync.Mutex
	chance   *rand.Rand
	rules    map[string]failing
	failed   int
	listener int
	ended    chan struct{}
	done     chan struct{}
}

type failing struct {
	rule Rule
	part float64
}

// Start starts a program that calls Install. All calls of the rules given fail from the first on; else they go on until Fail says otherwise.
func Start(cmd *exec.Cmd, seed uint64, atFirst ...Rule) (*Faults, error) {
	pair, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	theirs := os.NewFile(uintptr(pair[1]), "notifications")
	cmd.ExtraFiles = append(cmd.ExtraFiles, theirs)
	cmd.Env = append(cmd.Env, fmt.Sprintf("%s=%d", Variable, 2+len(cmd.ExtraFiles)))
	defer unix.Close(pair[0])
	err = cmd.Start()
	theirs.Close()
	if err != nil {
		return nil, err
	}
	listener, err := receive(pair[0])
	if err != nil {
		cmd.Process.Kill()
		return nil, err
	}
	f := &Faults{chance: rand.New(rand.NewPCG(seed, 47)), rules: map[string]failing{}, listener: listener, ended: make(chan struct{}), done: make(chan struct{})}
	for n, rule := range atFirst {
		f.Fail(fmt.Sprint(AtFirst, n), rule, 1)
	}
	go f.serve()
	return f, nil
}

// receive takes the descriptor of the notifications; an error: the process ended without.
func receive(from int) (int, error) {
	rights := make([]byte, unix.CmsgSpace(4))
	_, n, _, _, err := unix.Recvmsg(from, make([]byte, 1), rights, unix.MSG_CMSG_CLOEXEC)
	if err != nil {
		return 0, err
	}
	messages, err := unix.ParseSocketControlMessage(rights[:n])
	if err != nil || len(messages) == 0 {
		return 0, errors.New("the process does not hand its notifications over")
	}
	descriptors, err := unix.ParseUnixRights(&messages[0])
	if err != nil || len(descriptors) != 1 {
		return 0, errors.New("no descriptor of notifications")
	}
	return descriptors[0], nil
}

// Fail has a part of the calls of a rule fail from now on, under a name; 0: none any more.
func (f *Faults) Fail(name string, rule Rule, part float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rules[name] = failing{rule, part}
}

// Failed counts the calls that have failed.
func (f *Faults) Failed() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.failed
}

// Close ends it once the process has ended.
func (f *Faults) Close() {
	close(f.ended)
	<-f.done
	unix.Close(f.listener)
}

const pollEvery = 50 // ms

func (f *Faults) serve() {
	defer close(f.done)
	for {
		select {
		case <-f.ended:
			return
		default:
		}
		events := []unix.PollFd{{Fd: int32(f.listener), Events: unix.POLLIN}}
		if n, err := unix.Poll(events, pollEvery); err != nil || n == 0 || events[0].Revents&unix.POLLIN == 0 {
			if events[0].Revents&unix.POLLHUP != 0 {
				<-f.ended
				return
			}
			continue
		}
		var one notification
		if _, _, errno := unix.Syscall(unix.SYS_IOCTL, uintptr(f.listener), notifyReceive, uintptr(unsafe.Pointer(&one))); errno != 0 {
			continue // The call was given up meanwhile.
		}
		answer := response{id: one.id, flags: notifyContinue}
		if errno := f.errorFor(int(one.call)); errno != 0 {
			answer.errno, answer.flags = -int32(errno), 0
		}
		unix.Syscall(unix.SYS_IOCTL, uintptr(f.listener), notifySend, uintptr(unsafe.Pointer(&answer)))
	}
}

// errorFor draws whether a call fails, and how; 0: it goes on.
func (f *Faults) errorFor(call int) unix.Errno {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, one := range f.rules {
		for _, c := range one.rule.Calls {
			if c == call && f.chance.Float64() < one.part {
				f.failed++
				return one.rule.Errors[f.chance.IntN(len(one.rule.Errors))]
			}
		}
	}
	return 0
}
