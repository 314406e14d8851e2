package gatekeeper

import (
	"net"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

// Guards against a socket option that ends a connection to a target which is silent for a second: with TCP_USER_TIMEOUT
// set, it also decides when keep-alive probes give up.
func TestSocketsOfTargets(t *testing.T) {
	const userTimeout = 18 // TCP_USER_TIMEOUT of Linux.

	i := is.New(t)

	l, err := net.Listen("tcp", "127.0.0.1:0")
	i.NoErr(err)

	defer l.Close() //nolint:errcheck // A listener of the test itself.

	n, err := Environment{}.dialer().DialContext(t.Context(), "tcp", l.Addr().String())
	i.NoErr(err)

	defer n.Close() //nolint:errcheck // A connection of the test itself.

	r, err := n.(*net.TCPConn).SyscallConn()
	i.NoErr(err)

	for name, x := range map[string]struct{ level, option, want int }{
		"user timeout":                     {syscall.IPPROTO_TCP, userTimeout, 0},
		"keep-alive":                       {syscall.SOL_SOCKET, syscall.SO_KEEPALIVE, 1},
		"seconds until the first probe":    {syscall.IPPROTO_TCP, syscall.TCP_KEEPIDLE, 15},
		"seconds between two probes":       {syscall.IPPROTO_TCP, syscall.TCP_KEEPINTVL, 15},
		"unanswered probes until it fails": {syscall.IPPROTO_TCP, syscall.TCP_KEEPCNT, 9},
	} {
		var v int

		i.NoErr(r.Control(func(fd uintptr) { v, err = syscall.GetsockoptInt(int(fd), x.level, x.option) }))
		i.NoErr(err)

		if v != x.want {
			t.Errorf("%s: %d, want %d", name, v, x.want)
		}
	}
}
