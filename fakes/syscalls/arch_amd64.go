package syscalls

import "golang.org/x/sys/unix"

const (
	// auditArch is the architecture that the kernel reports to the filter.
	auditArch = unix.AUDIT_ARCH_X86_64
	// callPoll is the call that unix.Poll makes.
	callPoll = unix.SYS_POLL
)
