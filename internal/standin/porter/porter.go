// Package porter finds ports for tests.
package porter

import (
	"net"
	"net/netip"
	"syscall"
	"testing"
)

// Free returns a loopback address on which nobody listens. Another process may take
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

// Refusing returns a loopback address on which nobody listens, nor does any other process while
// the test runs: its port is taken by a socket that takes no connections. An address that was given
// back may be another's a moment later, and a test that counts on a refusal reaches that one.
func Refusing(t testing.TB) netip.AddrPort { //nolint:thelper // As above.
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
