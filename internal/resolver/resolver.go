// Package resolver reads settings from flags and environment variables and validates
// them.
package resolver

import (
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/pflag"
)

// ErrSetting marks errors on invalid settings. The message names the setting, its
// value and the allowed values.
var ErrSetting = errors.New("a setting is not valid")

// prefix is the prefix of the names of environment variables.
const prefix = "AUBURNTRAY_"

// Setting describes one setting, for its flag, its environment variable and the
// page docs/SETTINGS.md.
type Setting struct {
	// Name is the flag's name.
	Name    string
	Default string
	// Allowed describes the allowed values.
	Allowed string
	Help    string
	// Read parses a value and stores it. It fails when the value is not allowed.
	Read func(string) error
}

// Environment returns the name of the setting's environment variable.
func (s Setting) Environment() string {
	return prefix + strings.ToUpper(strings.ReplaceAll(s.Name, "-", "_"))
}

// Table is a list of settings in the order of the page.
type Table []Setting

// AddFlags adds a flag for each setting.
func (t Table) AddFlags(f *pflag.FlagSet) {
	for _, s := range t {
		f.String(s.Name, s.Default, s.Help+" ("+s.Allowed+"; "+s.Environment()+")")
	}
}

// Read reads each setting from its flag, or else from the environment, or else from its
// default. A nil flag set means that there are no flags. The error lists every invalid
// setting and is marked with ErrSetting.
func (t Table) Read(f *pflag.FlagSet) error {
	var l []string

	for _, s := range t {
		v := s.Default

		if e, ok := os.LookupEnv(s.Environment()); ok {
			v = e
		}

		if f != nil {
			if x := f.Lookup(s.Name); x != nil && x.Changed {
				v = x.Value.String()
			}
		}

		if err := s.Read(v); err != nil {
			l = append(l, "--"+s.Name+" is "+strconv.Quote(v)+" but must be "+s.Allowed)
		}
	}

	if len(l) > 0 {
		return errors.Mark(errors.Newf("%s", strings.Join(l, "; ")), ErrSetting)
	}

	return nil
}

var errNotAllowed = errors.New("not allowed")

// Text returns a reader of a text of 1 to 63 bytes.
func Text(o *string) func(string) error {
	return func(v string) error {
		if v == "" || len(v) > 63 {
			return errNotAllowed
		}

		*o = v

		return nil
	}
}

// AnyText returns a reader of any text, which may be empty.
func AnyText(o *string) func(string) error {
	return func(v string) error {
		*o = v

		return nil
	}
}

// Address returns a reader of an IP number and a port. If optional is set, an empty
// text means the zero address.
func Address(o *netip.AddrPort, optional bool) func(string) error {
	return func(v string) error {
		if v == "" && optional {
			*o = netip.AddrPort{}

			return nil
		}

		a, err := netip.ParseAddrPort(v)
		if err != nil {
			return errNotAllowed
		}

		*o = a

		return nil
	}
}

// Addresses returns a reader of a comma-separated list of addresses, which may be empty.
func Addresses(o *[]netip.AddrPort) func(string) error {
	return func(v string) error {
		*o = nil

		for _, p := range strings.Split(v, ",") {
			if p == "" {
				continue
			}

			a, err := netip.ParseAddrPort(p)
			if err != nil {
				return errNotAllowed
			}

			*o = append(*o, a)
		}

		return nil
	}
}

// Duration returns a reader of a duration within inclusive bounds.
func Duration(o *time.Duration, lowest, highest time.Duration) func(string) error {
	return func(v string) error {
		d, err := time.ParseDuration(v)
		if err != nil || d < lowest || d > highest {
			return errNotAllowed
		}

		*o = d

		return nil
	}
}

// Int returns a reader of an integer within inclusive bounds.
func Int(o *int, lowest, highest int) func(string) error {
	return func(v string) error {
		n, err := strconv.Atoi(v)
		if err != nil || n < lowest || n > highest {
			return errNotAllowed
		}

		*o = n

		return nil
	}
}

// Float returns a reader of a number within inclusive bounds. NaN is refused.
func Float(o *float64, lowest, highest float64) func(string) error {
	return func(v string) error {
		n, err := strconv.ParseFloat(v, 64)
		if err != nil || !(n >= lowest && n <= highest) {
			return errNotAllowed
		}

		*o = n

		return nil
	}
}

// Bool returns a reader of a boolean.
func Bool(o *bool) func(string) error {
	return func(v string) error {
		b, err := strconv.ParseBool(v)
		if err != nil {
			return errNotAllowed
		}

		*o = b

		return nil
	}
}

// File returns a reader of the name of a readable file, which may be empty.
func File(o *string) func(string) error {
	return func(v string) error {
		if v != "" {
			f, err := os.Open(v) //nolint:gosec // The operator names the file.
			if err != nil {
				return errNotAllowed
			}

			_ = f.Close()
		}

		*o = v

		return nil
	}
}

// OneOf returns a reader of one of the given values.
func OneOf(o *string, values ...string) func(string) error {
	return func(v string) error {
		for _, w := range values {
			if v == w {
				*o = v

				return nil
			}
		}

		return errNotAllowed
	}
}
