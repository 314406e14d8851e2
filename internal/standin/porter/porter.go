// Package porter finds free TCP ports for tests.
package porter

import (
	"net"
	"net/netip"
	"syscall"
	"testing"
)

// Free returns a loopback address on which no process listens. Another process may bind
// its port before the test does.
func Free(t testing.TB) netip.AddrPort { //nolint:thelper // One letter, as in all code here.
	t.Helper()

	l, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // Closed at once.
	if err != nil {
		t.Fatal(err)
	}

	a, err := netip.ParseAddrPort(l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}

	if err := l.Close(); err != nil {
		t.Fatal(err)
	}

	return a
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
