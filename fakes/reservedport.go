package fakes

import (
	"context"
	"fmt"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// reservedPort is a port of the loopback interface that nobody else gets while its owner does not listen on it, as a stand-in that is
// down and comes back at the same address. A socket that is bound to the port and never listens holds it; connections to it are
// refused meanwhile.
type reservedPort struct {
	address string
	socket  int
}

// reservePort reserves a free port.
func reservePort() (*reservedPort, error) {
	socket, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("reserve a port: %w", err)
	}
	p := &reservedPort{socket: socket}
	if err := p.bind(); err != nil {
		p.close()
		return nil, fmt.Errorf("reserve a port: %w", err)
	}
	return p, nil
}

func (p *reservedPort) bind() error {
	if err := sharePort(p.socket); err != nil {
		return err
	}
	if err := unix.Bind(p.socket, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return err
	}
	bound, err := unix.Getsockname(p.socket)
	if err != nil {
		return err
	}
	p.address = fmt.Sprint("127.0.0.1:", bound.(*unix.SockaddrInet4).Port)
	return nil
}

// sharePort allows another socket of this user to be bound to the port of a socket, if that allows it too.
func sharePort(socket int) error {
	return unix.SetsockoptInt(socket, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
}

// listen listens on the port.
func (p *reservedPort) listen() (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) (err error) {
		if controlErr := raw.Control(func(socket uintptr) { err = sharePort(int(socket)) }); controlErr != nil {
			return controlErr
		}
		return err
	}}
	return config.Listen(context.Background(), "tcp", p.address)
}

// close gives the port back.
func (p *reservedPort) close() { _ = unix.Close(p.socket) }
