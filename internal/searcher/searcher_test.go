package searcher_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/aggregator"
	"github.com/auburntray/auburntray/internal/searcher"
)

// A search ends when a target has a free slot or the request limit is reached. A call to a
// service is then refused rather than sent to a long queue; a call with a prompt is sent.
func TestSteps(t *testing.T) {
	full, excluded := aggregator.Full, aggregator.Excluded

	for name, tc := range map[string]struct {
		prompt   bool
		outcomes []aggregator.Outcome
		want     []searcher.Step
		// maxCalls and allowExcluded are the parameters of the last request, with a bound of six.
		maxCalls      int
		allowExcluded bool
		bounded       bool
	}{
		"free slot": {
			false, []aggregator.Outcome{aggregator.Granted}, []searcher.Step{searcher.Send}, 6, false, false,
		},
		"home does not answer": {
			false, []aggregator.Outcome{full, aggregator.Unanswered}, []searcher.Step{searcher.TryNext, searcher.Send}, 6, false, false,
		},
		// Guards against an endless search when a newer release reports an unknown outcome.
		"unknown outcome": {
			false, []aggregator.Outcome{full, 99}, []searcher.Step{searcher.TryNext, searcher.Send}, 6, false, false,
		},
		"all targets full": {
			false, []aggregator.Outcome{full, full, full, full, full, full},
			[]searcher.Step{searcher.TryNext, searcher.TryNext, searcher.TryNext, searcher.TryNext, searcher.TryNext, searcher.Refuse}, 12, false, false,
		},
		"all targets full, short queue permitted": {
			false, []aggregator.Outcome{full, full, full, full, full, aggregator.Granted},
			[]searcher.Step{searcher.TryNext, searcher.TryNext, searcher.TryNext, searcher.TryNext, searcher.TryNext, searcher.Send}, 12, false, false,
		},
		"all targets full, with a prompt": {
			true, []aggregator.Outcome{full, full, full, full, full},
			[]searcher.Step{searcher.TryNext, searcher.TryNext, searcher.TryNext, searcher.TryNext, searcher.Send}, 6, false, false,
		},
		"all targets full, with a prompt, few may run the call": {
			prompt: true, outcomes: []aggregator.Outcome{full, full, full, full, full, full},
			want:     []searcher.Step{searcher.TryNext, searcher.TryNext, searcher.TryNext, searcher.TryNext, searcher.Refuse, searcher.Refuse},
			maxCalls: 6, bounded: true,
		},
		"all targets full, few may run the call": {
			outcomes: []aggregator.Outcome{full, full, full, full, full, full},
			want:     []searcher.Step{searcher.TryNext, searcher.TryNext, searcher.TryNext, searcher.TryNext, searcher.TryNext, searcher.Refuse},
			maxCalls: 6, bounded: true,
		},
		"two targets excluded": {
			false, []aggregator.Outcome{excluded, excluded, aggregator.Granted}, []searcher.Step{searcher.TryNext, searcher.TryNext, searcher.Send}, 6, true, false,
		},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			s := searcher.Searcher{Prompt: tc.prompt, Bounded: tc.bounded}

			var (
				maxCalls      int
				allowExcluded bool
			)

			for n, o := range tc.outcomes {
				maxCalls, allowExcluded = s.MaxCalls(6), s.AllowExcluded()
				i.Equal(s.Next(o), tc.want[n])
			}

			i.Equal(maxCalls, tc.maxCalls)
			i.Equal(allowExcluded, tc.allowExcluded)
		})
	}
}
