package suppressor

import (
	"math"
	"strconv"
	"strings"
	"time"
)

// maxSeconds bounds a time so that it fits a time.Duration.
const maxSeconds = 1e9

// ParseRetryAfter parses the value of a Retry-After header in seconds, fractions permitted. It returns zero for an
// invalid or non-positive value. A date (RFC 9110, section 10.2.3) returns zero too, because the clocks of the
// two hosts may differ.
func ParseRetryAfter(v string) time.Duration {
	n, err := strconv.ParseFloat(strings.TrimSpace(v), 64)
	if err != nil || math.IsNaN(n) || n <= 0 {
		return 0
	}

	return time.Duration(min(n, maxSeconds) * float64(time.Second))
}
