// Package porter finds free TCP ports for tests.
package porter

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"syscall"
	"testing"
)

const (
	// firstPort and portCount are the ports that Free returns. They are below those that systems choose for connections, one of
	// which could be bound between the search and the use.
	firstPort = 20000
	portCount = 10000
	// maxTries is the number of ports that are tried.
	maxTries = 100
)

// Free returns a loopback address on which no process listens. Another process may bind
// its port before the test does.
func Free(t testing.TB) netip.AddrPort { //nolint:thelper // One letter, as in all code here.
	t.Helper()

	var err error

	for range maxTries {
		a := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(firstPort+rand.IntN(portCount))) //nolint:gosec // A port.

		var l net.Listener
		if l, err = net.Listen("tcp", a.String()); err != nil { //nolint:noctx // Closed at once.
			continue
		}

		if err := l.Close(); err != nil {
			t.Fatal(err)
		}

		return a
	}

	t.Fatal(err)

	return netip.AddrPort{}
}

// Refusing returns a loopback address that refuses connections until the test ends: its port
// is bound to a socket that does not listen. The port of a closed listener could be bound by
// another process at any time, and a test that expects a refusal would then reach that process.
func Refusing(t testing.TB) netip.AddrPort { //nolint:thelper // One letter, as in all code here.
	t.Helper()

	n, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}

	t.Cleanup(func() { _ = syscall.Close(n) })

	if err := syscall.Bind(n, &syscall.SockaddrInet4{Addr: netip.MustParseAddr("127.0.0.1").As4()}); err != nil {
		t.Fatal(err)
	}

	a, err := syscall.Getsockname(n)
	if err != nil {
		t.Fatal(err)
	}

	x, _ := a.(*syscall.SockaddrInet4)

	return netip.AddrPortFrom(netip.AddrFrom4(x.Addr), uint16(x.Port)) //nolint:gosec // A port.
}
