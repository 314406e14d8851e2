package forwarder_test

import (
	"cmp"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/quarantiner"
)

// Guards against one customer that crashes all targets by sending a new fatal call every quarter of
// a second, each of which is detected too late. When other instances report crashes one after the
// other, each customer must be limited to its shard of the targets.
func TestCrashesStartShuffleSharding(t *testing.T) {
	for name, x := range map[string]struct {
		// crashInterval is the time between two crashes; usedTargets is the number of targets that
		// receive calls.
		crashInterval time.Duration
		usedTargets   int
		// targets is the number of targets; zero means 9.
		targets int
		// repeated reports whether the calls that were running at the crashes were suspected.
		repeated bool
	}{
		"crashes one after the other":               {crashInterval: 600 * time.Millisecond, usedTargets: 3},
		"crashes at the same time":                  {usedTargets: 9},
		"crashes of suspected calls, all at a time": {usedTargets: 6, targets: 18, repeated: true},
		"crashes of suspected calls, few targets":   {usedTargets: 9, repeated: true},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)

			var l []*target
			for range cmp.Or(x.targets, 9) {
				l = append(l, &target{answer: answerStream})
			}

			g := newGateway(t, l...)
			now := time.Now()

			var crashes []quarantiner.Occurrence

			for n, k := range g.state.Registry().Groups["g"] {
				crashes = append(crashes, quarantiner.Occurrence{Process: k.Key().Name(), At: now.Add(time.Duration(n-9) * x.crashInterval), Repeated: x.repeated})
			}

			g.forwarder.RecordCrashes(append(crashes, quarantiner.Occurrence{Process: 1, At: now}))

			// Distinct prompts spread the calls over all targets that they may use.
			for n := range 200 {
				g.call(t, http.MethodPost, "/stream/", "", "Key", "key-1", "Prompt", strconv.Itoa(n))
			}

			used := 0

			for _, k := range l {
				if k.count() > 0 {
					used++
				}
			}

			i.Equal(used, x.usedTargets)
		})
	}
}

func answerStream(n net.Conn, s received) {
	beginStream(n, s)
	chunk(n, event(1))
	finishStream(n)
}
