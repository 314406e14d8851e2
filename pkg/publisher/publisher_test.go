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
		"accepted":          {publisher.Request{Document: document(2), Base: 1}, platform.Faults{}, publisher.Accepted},
		"older base":        {publisher.Request{Document: document(2)}, platform.Faults{}, publisher.Stale},
		"document in force": {publisher.Request{Document: document(1), Base: 1}, platform.Faults{}, publisher.NoChange},
		"dry run":           {publisher.Request{Document: document(2), Base: 1, DryRun: true}, platform.Faults{}, publisher.DryRun},
		"lost replies":      {publisher.Request{Document: document(2), Base: 1}, platform.Faults{LoseReplies: 2}, publisher.Accepted},
		"repeated ID":       {publisher.Request{Document: document(1), ID: "first"}, platform.Faults{}, publisher.Accepted},
		"slow log":          {publisher.Request{Document: document(2), Base: 1}, platform.Faults{SlowMs: 30}, publisher.Accepted},
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

// Guards against a publication that is reported as accepted, or partly applied, while the
// log is unavailable: operators would rely on a change that is not in force.
func TestPublishDuringOutage(t *testing.T) {
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

// Guards against a publication that is undone unnoticed: the reply to one publication was lost, another
// one was accepted, and a repetition of the first returned the revision of the second as its own. The
// next change would have been published on that revision without including the second change.
func TestAcceptedReturnsItsOwnRevision(t *testing.T) {
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

	// A publication that is not accepted returns the revision in force.
	r, err = x.Publish(t.Context(), publisher.Request{Base: 1, Document: document(9)})
	i.NoErr(err)
	i.Equal(r.Outcome, publisher.Stale)
	i.Equal(r.Revision, uint64(3))
}

// input is an operation on the configuration: a publication on a base, or a read.
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

// model is the sequential specification of the configuration: a register with a revision,
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

// Guards against a false "accepted", a change that is applied twice and a return to an older
// configuration. Three operators publish and read concurrently while the log loses replies;
// their histories must be linearizable.
func TestConcurrentPublishersAreLinearizable(t *testing.T) {
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
	record := func(client int, q input, call time.Duration, o output) {
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

				record(client, input{}, c, output{revision: s.Revision, weight: weight(s)})

				// The weights are all different, since a document in force is not published again.
				q := input{publish: true, base: s.Revision, weight: 2 + 100*client + n}
				c = time.Since(begin)

				v, err := x.Publish(t.Context(), publisher.Request{Document: document(q.weight), Base: q.base})
				if err != nil || (v.Outcome != publisher.Accepted && v.Outcome != publisher.Stale) {
					t.Errorf("%v %v", v.Outcome, err)

					return
				}

				record(client, q, c, output{accepted: v.Outcome == publisher.Accepted, revision: v.Revision})
			}
		})
	}

	g.Wait()

	// The first publication precedes the concurrent operations.
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

// Guards against a publication that is reported as accepted although the log has lost it as it came back from a copy,
// and against one that is never accepted again since its reader waits at an offset that does not exist.
func TestPublishAfterLogCameBackFromACopy(t *testing.T) {
	i := is.New(t)
	p, x := newPublisher(t, time.Hour)

	for n := range uint64(3) {
		r, err := x.Publish(t.Context(), publisher.Request{Document: document(int(n + 1)), Base: n})
		i.NoErr(err)
		i.Equal(r.Outcome, publisher.Accepted)
	}

	c := p.Copy()
	w := make(chan publisher.State, 10)

	go func() { _ = x.Watch(t.Context(), func(s publisher.State) { w <- s }) }()

	i.Equal((<-w).Revision, uint64(3))

	for n := uint64(3); n < 6; n++ {
		_, err := x.Publish(t.Context(), publisher.Request{Document: document(int(n + 1)), Base: n})
		i.NoErr(err)
		i.Equal((<-w).Revision, n+1)
	}

	p.Restore(c)

	s, err := x.Show(t.Context())
	i.NoErr(err)
	i.Equal(s.Revision, uint64(3))

	r, err := x.Publish(t.Context(), publisher.Request{Document: document(9), Base: 3})
	i.NoErr(err)
	i.Equal(r.Outcome, publisher.Accepted)

	for s := range w {
		if s.Revision == 4 {
			break
		}
	}
}
