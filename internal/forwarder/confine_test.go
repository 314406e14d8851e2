package forwarder_test

import (
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/quarantiner"
)

// One customer sends a new call that ends targets each quarter of a second. Each is known too
// late, all targets end again and again, and nobody is served. As other instances tell of such
// ends, one after the other, each customer keeps to its part of the targets.
func TestCustomersKeepToTheirParts(t *testing.T) {
	for name, x := range map[string]struct {
		every time.Duration
		used  int
	}{
		"one after the other": {every: 600 * time.Millisecond, used: 3},
		"all together":        {used: 9},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)

			var l []*target
			for range 9 {
				l = append(l, &target{answer: streamed})
			}

			g := front(t, l...)
			now := time.Now()

			var ends []quarantiner.End

			for n, k := range g.facts.Roster().Groups["g"] {
				ends = append(ends, quarantiner.End{Process: k.Key().Name(), At: now.Add(time.Duration(n-9) * x.every)})
			}

			g.forwarder.LearnEnds(append(ends, quarantiner.End{Process: 1, At: now}))

			// Prompts of their own spread calls over all targets that they may go to.
			for n := range 200 {
				g.call(t, http.MethodPost, "/stream/", "", "Key", "key-1", "Prompt", strconv.Itoa(n))
			}

			used := 0

			for _, k := range l {
				if k.count() > 0 {
					used++
				}
			}

			i.Equal(used, x.used)
		})
	}
}

func streamed(n net.Conn, s seen) {
	begin(n, s)
	chunk(n, event(1))
	finish(n)
}
