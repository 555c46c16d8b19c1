package cutter

import (
	"net"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

// reserve returns a socket that is bound to an IPv4 address and does not listen, and the address. While
// it is open, the kernel gives the port to no one who asks for a free one.
func reserve(listen string) (int, *net.TCPAddr, error) {
	address, err := net.ResolveTCPAddr("tcp4", listen)
	if err != nil {
		return 0, nil, errors.Wrap(err, "resolve the address: give an IPv4 address and a port")
	}
	if address.IP == nil {
		address.IP = net.IPv4zero
	}
	socket, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return 0, nil, errors.Wrap(err, "open a socket")
	}
	if address.Port, err = bindShared(socket, address); err != nil {
		_ = unix.Close(socket)
		return 0, nil, err
	}
	return socket, address, nil
}

// bindShared binds a socket so that a listener and its connections can share the address, and returns
// the port.
func bindShared(socket int, address *net.TCPAddr) (int, error) {
	if err := unix.SetsockoptInt(socket, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err != nil {
		return 0, errors.Wrap(err, "share the address")
	}
	if err := unix.Bind(socket, &unix.SockaddrInet4{Port: address.Port, Addr: [4]byte(address.IP.To4())}); err != nil {
		return 0, errors.Wrap(err, "bind the address")
	}
	bound, err := unix.Getsockname(socket)
	if err != nil {
		return 0, errors.Wrap(err, "read the address")
	}
	inet, ok := bound.(*unix.SockaddrInet4)
	if !ok {
		return 0, errors.Errorf("the socket has an address of type %T", bound)
	}
	return inet.Port, nil
}

// shareAddress sets whether a listener may share the reserved address. One that shares it stays.
func (c *Cutter) shareAddress(share bool) error {
	value := 0
	if share {
		value = 1
	}
	if err := unix.SetsockoptInt(c.reserved, unix.SOL_SOCKET, unix.SO_REUSEADDR, value); err != nil {
		return errors.Wrap(err, "change who may share the address")
	}
	return nil
}

func (c *Cutter) setBacklog(n int) error {
	return c.onListener(func(fd int) error {
		if err := unix.Listen(fd, n); err != nil {
			return errors.Wrap(err, "set the listener's queue")
		}
		return nil
	})
}

// queueIsFull reports whether the kernel drops further connections.
func (c *Cutter) queueIsFull() (full bool, err error) {
	err = c.onListener(func(fd int) error {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		if err != nil {
			return errors.Wrap(err, "read the listener's queue")
		}
		// Of a listener these are the connections in its queue and the most that it may hold.
		full = info.Unacked > info.Sacked
		return nil
	})
	return full, err
}

func (c *Cutter) onListener(do func(fd int) error) error {
	raw, err := c.listener.(*net.TCPListener).SyscallConn()
	if err != nil {
		return errors.Wrap(err, "reach the listener's socket")
	}
	var failed error
	if err := raw.Control(func(fd uintptr) { failed = do(int(fd)) }); err != nil {
		return errors.Wrap(err, "reach the listener's socket")
	}
	return failed
}
