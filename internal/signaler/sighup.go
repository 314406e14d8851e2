//go:build cgo

package signaler

import "C" // Links sighup.c.
