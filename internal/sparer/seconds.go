package sparer

import (
	"math"
	"strconv"
	"strings"
	"time"
)

// secondsMost bounds a time, in seconds, so that it fits a time.Duration.
const secondsMost = 1e9

// Seconds reads the value of a Retry-After header in seconds, with fractions; what is no time above
// zero is none. A date (RFC 9110, section 10.2.3) is none either: clocks here and there differ.
func Seconds(v string) time.Duration {
	n, err := strconv.ParseFloat(strings.TrimSpace(v), 64)
	if err != nil || math.IsNaN(n) || n <= 0 {
		return 0
	}

	return time.Duration(min(n, secondsMost) * float64(time.Second))
}
