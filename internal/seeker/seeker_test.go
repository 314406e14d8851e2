package seeker_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/aggregator"
	"github.com/auburntray/auburntray/internal/seeker"
)

// A call asks until a target has room, and no longer than that helps: a plain one is then refused
// rather than sent to the end of a long line, one with a prompt is sent.
func TestSteps(t *testing.T) {
	full, left := aggregator.Full, aggregator.Excluded

	for name, tc := range map[string]struct {
		prompt bool
		said   []aggregator.Outcome
		want   []seeker.Step
		// most and anyway are what the last question asked for, with a bound of six.
		most   int
		anyway bool
	}{
		"room": {
			false, []aggregator.Outcome{aggregator.Granted}, []seeker.Step{seeker.Take}, 6, false,
		},
		"no home answers": {
			false, []aggregator.Outcome{full, aggregator.Unanswered}, []seeker.Step{seeker.Ask, seeker.Take}, 6, false,
		},
		// Of a newer release, say. The call would ask without end.
		"an outcome that is not known here": {
			false, []aggregator.Outcome{full, 99}, []seeker.Step{seeker.Ask, seeker.Take}, 6, false,
		},
		"full everywhere": {
			false, []aggregator.Outcome{full, full, full, full, full, full},
			[]seeker.Step{seeker.Ask, seeker.Ask, seeker.Ask, seeker.Ask, seeker.Ask, seeker.Refuse}, 12, false,
		},
		"full, but for a short line": {
			false, []aggregator.Outcome{full, full, full, full, full, aggregator.Granted},
			[]seeker.Step{seeker.Ask, seeker.Ask, seeker.Ask, seeker.Ask, seeker.Ask, seeker.Take}, 12, false,
		},
		"full everywhere, with a prompt": {
			true, []aggregator.Outcome{full, full, full, full, full},
			[]seeker.Step{seeker.Ask, seeker.Ask, seeker.Ask, seeker.Ask, seeker.Take}, 6, false,
		},
		"two are to be left alone": {
			false, []aggregator.Outcome{left, left, aggregator.Granted}, []seeker.Step{seeker.Ask, seeker.Ask, seeker.Take}, 6, true,
		},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			s := seeker.Seeker{Prompt: tc.prompt}

			var (
				most   int
				anyway bool
			)

			for n, o := range tc.said {
				most, anyway = s.Most(6), s.Anyway()
				i.Equal(s.Next(o), tc.want[n])
			}

			i.Equal(most, tc.most)
			i.Equal(anyway, tc.anyway)
		})
	}
}
