package driver_test

import (
	"net/netip"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/driver"
)

// A load generator aimed at another machine would be an attack, so all addresses
// other than loopback addresses are rejected.
func TestLoadGoesToLoopbackOnly(t *testing.T) {
	for name, tc := range map[string]struct {
		address string
		ok      bool
	}{
		"loopback": {"127.0.0.1:80", true}, "IPv6 loopback": {"[::1]:80", true},
		"private": {"10.0.0.1:80", false}, "public": {"192.0.2.1:80", false}, "unspecified": {"0.0.0.0:80", false},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			_, err := driver.New(driver.Settings{
				Addresses: []netip.AddrPort{netip.MustParseAddrPort(tc.address)}, Customers: []string{"c"},
			})
			i.Equal(err == nil, tc.ok)
			i.Equal(errors.Is(err, driver.ErrAddress), !tc.ok)
		})
	}
}
