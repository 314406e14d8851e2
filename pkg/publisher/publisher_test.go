package publisher_test

import (
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/standin/platform"
	"github.com/auburntray/auburntray/pkg/publisher"
)

func newPublisher(t *testing.T, retention time.Duration) (*platform.Platform, *publisher.Publisher) {
	t.Helper()

	p := platform.New(platform.Settings{Retention: retention, AppendsPerSecond: 10000})
	s := httptest.NewServer(p.Handler())
	t.Cleanup(s.Close)

	x, stop := publisher.New(netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://")), "ops")
	t.Cleanup(stop)

	return p, x
}

func document(weight int) []byte {
	return fmt.Appendf(nil, `{"customers": {"c": {"weight": %d}}, "targets": {"t":
		{"address": "127.0.0.1:1", "kind": "engine", "region": "r", "dataCentre": "d", "capacity": 1}}}`, weight)
}

func TestPublish(t *testing.T) {
	for name, tc := range map[string]struct {
		request publisher.Request
		faults  platform.Faults
		want    publisher.Outcome
	}{
		"accepted":                    {publisher.Request{Document: document(2), Base: 1}, platform.Faults{}, publisher.Accepted},
		"on an older base":            {publisher.Request{Document: document(2)}, platform.Faults{}, publisher.Stale},
		"what is in force":            {publisher.Request{Document: document(1), Base: 1}, platform.Faults{}, publisher.NoChange},
		"a dry run":                   {publisher.Request{Document: document(2), Base: 1, DryRun: true}, platform.Faults{}, publisher.DryRun},
		"the reply is lost":           {publisher.Request{Document: document(2), Base: 1}, platform.Faults{LoseReplies: 2}, publisher.Accepted},
		"again under the same id":     {publisher.Request{Document: document(1), ID: "first"}, platform.Faults{}, publisher.Accepted},
		"the log is slow, not broken": {publisher.Request{Document: document(2), Base: 1}, platform.Faults{SlowMs: 30}, publisher.Accepted},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			p, x := newPublisher(t, time.Hour)

			r, err := x.Publish(t.Context(), publisher.Request{Document: document(1), ID: "first", Author: "day"})
			i.NoErr(err)
			i.Equal(r.Outcome, publisher.Accepted)
			p.SetFaults(tc.faults)

			r, err = x.Publish(t.Context(), tc.request)
			i.NoErr(err)
			i.Equal(r.Outcome, tc.want)

			s, err := x.Show(t.Context())
			i.NoErr(err)
			i.Equal(strings.Contains(string(s.Document), `"weight": 2`), tc.want == publisher.Accepted && tc.request.ID == "")
		})
	}
}

// The log is down. The operator must not be told that the change is in force,
// nor lose it: the next shift would trust what is not there.
func TestAnOutageIsNeverAFalseYes(t *testing.T) {
	i := is.New(t)
	p, x := newPublisher(t, time.Hour)
	p.SetFaults(platform.Faults{Outage: true})

	_, err := x.Publish(t.Context(), publisher.Request{Document: document(1)})
	i.True(errors.Is(err, publisher.ErrUnavailable))

	_, err = x.Publish(t.Context(), publisher.Request{Document: []byte("{")})
	i.True(errors.Is(err, publisher.ErrDocument))

	p.SetFaults(platform.Faults{})

	s, err := x.Show(t.Context())
	i.NoErr(err)
	i.Equal(s.Revision, uint64(0))
}

func TestDrain(t *testing.T) {
	i := is.New(t)
	_, x := newPublisher(t, time.Hour)
	_, err := x.Publish(t.Context(), publisher.Request{Document: document(1)})
	i.NoErr(err)

	for _, want := range []bool{true, false} {
		_, err = x.Drain(t.Context(), "t", "night", want)
		i.NoErr(err)

		s, err := x.Show(t.Context())
		i.NoErr(err)
		i.Equal(strings.Contains(string(s.Document), `"drain": true`), want)
		i.Equal(s.Author, "night")
	}

	_, err = x.Drain(t.Context(), "nobody", "night", true)
	i.True(errors.Is(err, publisher.ErrNoTarget))

	h, err := x.History(t.Context())
	i.NoErr(err)
	i.Equal(len(h), 3)
	i.Equal(h[1].Verdict, "accepted")
}

// A shift publishes, its reply is lost, and another shift publishes before it finds out what became
// of it. It was told the other's revision as its own, and would have published its next change on
// that without having seen it: the other shift's change would be undone, and nobody told.
func TestAcceptedNamesItsOwnRevision(t *testing.T) {
	i := is.New(t)
	_, x := newPublisher(t, time.Hour)

	for n, id := range []string{"first", "evening", "night"} {
		r, err := x.Publish(t.Context(), publisher.Request{ID: id, Base: uint64(n), Document: document(n + 1)})
		i.NoErr(err)
		i.Equal(r.Outcome, publisher.Accepted)
	}

	r, err := x.Publish(t.Context(), publisher.Request{ID: "evening", Base: 1, Document: document(2)})
	i.NoErr(err)
	i.Equal(r.Outcome, publisher.Accepted)
	i.Equal(r.Revision, uint64(2))

	// One that was not accepted is told what is in force.
	r, err = x.Publish(t.Context(), publisher.Request{Base: 1, Document: document(9)})
	i.NoErr(err)
	i.Equal(r.Outcome, publisher.Stale)
	i.Equal(r.Revision, uint64(3))
}

// input is an operation on the configuration: a publication on a base, or a
// read.
type input struct {
	publish bool
	base    uint64
	weight  int
}

type output struct {
	accepted bool
	revision uint64
	weight   int
}

// model is the configuration as operators see it: one register with a revision,
// which a publication changes if its base is the revision in force.
func model() porcupine.Model {
	return porcupine.Model{
		Init: func() any { return output{} },
		Step: func(s, in, out any) (bool, any) {
			x, _ := s.(output)
			q, _ := in.(input)
			r, _ := out.(output)

			if !q.publish {
				return r.revision == x.revision && r.weight == x.weight, x
			}

			if !r.accepted {
				return q.base != x.revision, x
			}

			return q.base == x.revision && r.revision > x.revision, output{revision: r.revision, weight: q.weight}
		},
	}
}

// Three shifts publish and read at once while the log loses replies. What each
// was told must be explained by one order of all their changes: a false
// "accepted", a change that came in force twice, or a step back has none.
func TestShiftsThatRaceSeeOneOrder(t *testing.T) {
	i := is.New(t)
	p, x := newPublisher(t, time.Hour)
	_, err := x.Publish(t.Context(), publisher.Request{Document: document(1)})
	i.NoErr(err)
	p.SetFaults(platform.Faults{LoseReplies: 10})

	var (
		m   sync.Mutex
		ops []porcupine.Operation
		g   sync.WaitGroup
	)

	begin := time.Now()
	note := func(client int, q input, call time.Duration, o output) {
		m.Lock()
		defer m.Unlock()

		ops = append(ops, porcupine.Operation{
			ClientId: client, Input: q, Call: int64(call), Output: o, Return: int64(time.Since(begin)),
		})
	}

	for client := range 3 {
		g.Go(func() {
			for n := range 12 {
				c := time.Since(begin)

				s, err := x.Show(t.Context())
				if err != nil {
					t.Error(err)

					return
				}

				note(client, input{}, c, output{revision: s.Revision, weight: weight(s)})

				// No two are alike: one that is in force already changes nothing.
				q := input{publish: true, base: s.Revision, weight: 2 + 100*client + n}
				c = time.Since(begin)

				v, err := x.Publish(t.Context(), publisher.Request{Document: document(q.weight), Base: q.base})
				if err != nil || (v.Outcome != publisher.Accepted && v.Outcome != publisher.Stale) {
					t.Errorf("%v %v", v.Outcome, err)

					return
				}

				note(client, q, c, output{accepted: v.Outcome == publisher.Accepted, revision: v.Revision})
			}
		})
	}

	g.Wait()

	// The first publication is the state that the history begins with.
	ops = append(ops, porcupine.Operation{
		ClientId: 3, Input: input{publish: true, weight: 1}, Call: -2,
		Output: output{accepted: true, revision: 1}, Return: -1,
	})
	i.True(porcupine.CheckOperations(model(), ops))
}

func weight(s publisher.State) int {
	var d struct {
		Customers map[string]struct{ Weight int }
	}

	_ = json.Unmarshal(s.Document, &d)

	return d.Customers["c"].Weight
}
