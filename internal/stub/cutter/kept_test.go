package cutter

import (
	"net"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// TestAddressIsNeverFree guards against "address already in use" as connections are accepted again:
// another process that looks for a free port found the cutter's.
func TestAddressIsNeverFree(t *testing.T) {
	c := open(t)
	address := c.address.(*net.TCPAddr)
	stop, taken := make(chan struct{}), make(chan bool)
	go func() {
		for {
			select {
			case <-stop:
				taken <- false
				return
			default:
				if bindAlone(address) == nil {
					taken <- true
					return
				}
			}
		}
	}()
	for range 50 {
		require.NoError(t, c.Listen(Refusing))
		require.NoError(t, c.Listen(Accepting))
	}
	close(stop)
	require.False(t, <-taken)
}

// bindAlone binds an address as the kernel does for a socket that wants any free port: the address must
// be shared with no other socket.
func bindAlone(address *net.TCPAddr) error {
	socket, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return err
	}
	err = unix.Bind(socket, &unix.SockaddrInet4{Port: address.Port, Addr: [4]byte(address.IP.To4())})
	return errors.Join(err, unix.Close(socket))
}

// TestOpenConnectionsStayOpen guards against holding up or resetting a connection whose caller opened it
// just before the change.
func TestOpenConnectionsStayOpen(t *testing.T) {
	for _, how := range []Listening{Hanging, Refusing} {
		c := open(t)
		for range 50 {
			var opened []net.Conn
			for range 5 {
				opened = append(opened, dial(t, c))
			}
			require.NoError(t, c.Listen(how))
			for _, conn := range opened {
				require.NoError(t, exchange(conn, time.Second))
			}
			require.NoError(t, c.Listen(Accepting))
		}
	}
}
