// Package resolver reads settings from flags and the environment and checks
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

// ErrSetting marks every refused setting. The message names the setting, its
// value and what is allowed.
var ErrSetting = errors.New("a setting is not valid")

// prefix comes before the name of a setting in the environment.
const prefix = "AUBURNTRAY_"

// Setting describes one setting for its flag, its environment variable and the
// page docs/SETTINGS.md.
type Setting struct {
	// Name is the flag's name.
	Name    string
	Default string
	// Allowed says in words which values are taken.
	Allowed string
	Help    string
	// Read takes a value.
	Read func(string) error
}

// Environment returns the name of the setting's environment variable.
func (s Setting) Environment() string {
	return prefix + strings.ToUpper(strings.ReplaceAll(s.Name, "-", "_"))
}

// Table is a list of settings in the order in which they are shown.
type Table []Setting

// AddFlags adds a flag for each setting.
func (t Table) AddFlags(f *pflag.FlagSet) {
	for _, s := range t {
		f.String(s.Name, s.Default, s.Help+" ("+s.Allowed+"; "+s.Environment()+")")
	}
}

// Read takes each setting from its flag, else from the environment, else its
// default; without flags it takes the last two. The error lists every setting that is not valid and is marked with
// ErrSetting.
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

// Text returns a reader of a name of up to 63 bytes that may not be empty.
func Text(o *string) func(string) error {
	return func(v string) error {
		if v == "" || len(v) > 63 {
			return errNotAllowed
		}

		*o = v

		return nil
	}
}

// Free returns a reader of any text, also none.
func Free(o *string) func(string) error {
	return func(v string) error {
		*o = v

		return nil
	}
}

// Address returns a reader of an IP number and a port. Where optional is set,
// no text leaves the zero address.
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

// Addresses returns a reader of addresses with commas between them, or none.
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

// Duration returns a reader of a duration within bounds.
func Duration(o *time.Duration, least, most time.Duration) func(string) error {
	return func(v string) error {
		d, err := time.ParseDuration(v)
		if err != nil || d < least || d > most {
			return errNotAllowed
		}

		*o = d

		return nil
	}
}

// Int returns a reader of a whole number within bounds.
func Int(o *int, least, most int) func(string) error {
	return func(v string) error {
		n, err := strconv.Atoi(v)
		if err != nil || n < least || n > most {
			return errNotAllowed
		}

		*o = n

		return nil
	}
}

// Float returns a reader of a number within bounds.
func Float(o *float64, least, most float64) func(string) error {
	return func(v string) error {
		n, err := strconv.ParseFloat(v, 64)
		if err != nil || !(n >= least && n <= most) {
			return errNotAllowed
		}

		*o = n

		return nil
	}
}

// Bool returns a reader of true or false.
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

// File returns a reader of the name of a file that can be read, or none.
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

// Level returns a reader of one of the given words.
func Level(o *string, words ...string) func(string) error {
	return func(v string) error {
		for _, w := range words {
			if v == w {
				*o = v

				return nil
			}
		}

		return errNotAllowed
	}
}
