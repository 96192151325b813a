package syscalls

import "golang.org/x/sys/unix"

const (
	// auditArch is the architecture that the kernel reports to the filter.
	auditArch = unix.AUDIT_ARCH_AARCH64
	// callPoll is the call that unix.Poll makes: arm64 has no poll.
	callPoll = unix.SYS_PPOLL
)
