package gatekeeper

import (
	"context"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/tinylib/msgp/msgp"

	"github.com/auburntray/auburntray/internal/selector"
	"github.com/auburntray/auburntray/internal/wire"
)

// ErrEvacuations marks a question that can't be read.
var ErrEvacuations = errors.New("the question about evacuations is not valid")

// work tells what runs at targets.
type work interface {
	// Running returns how many calls this instance has at the targets of a data centre.
	Running(centre string) int
	Views() []selector.View
}

// evacuations tells operators what still runs in evacuated data centres.
type evacuations struct {
	facts *facts
	work  work
	// empty are the beginnings of the evacuations of which it was told that nothing runs there.
	// Only look uses it.
	empty map[string]time.Time
}

func newEvacuations(f *facts, w work) *evacuations {
	return &evacuations{facts: f, work: w, empty: make(map[string]time.Time)}
}

// look tells of the data centres in which nothing of this instance's runs any more since it was
// called last.
func (e *evacuations) look() {
	for c, b := range e.facts.evacuations().Begun {
		if e.empty[c].Equal(b) || e.work.Running(c) > 0 {
			continue
		}

		e.empty[c] = b
		logrus.WithFields(logrus.Fields{
			"event": "evacuationEmpty", "dataCentre": c, "took": time.Since(b).Round(time.Millisecond),
		}).Info()
	}
}

// list returns the evacuations that stand, in the order of their data centres' names.
func (e *evacuations) list() []wire.Evacuation {
	var o []wire.Evacuation

	for c, b := range e.facts.evacuations().Begun {
		x := wire.Evacuation{
			DataCentre: c, AgeMs: uint64(time.Since(b).Milliseconds()), Own: uint32(e.work.Running(c)), //nolint:gosec // Not negative.
		}

		load := 0.0

		for _, v := range e.work.Views() {
			if v.Target.DataCentre == c {
				x.Targets++
				load += v.Load
			}
		}

		x.All = uint32(math.Round(load))
		o = append(o, x)
	}

	slices.SortFunc(o, func(a, b wire.Evacuation) int { return strings.Compare(a.DataCentre, b.DataCentre) })

	return o
}

// Asked answers an operator.
func (e *evacuations) Asked(_ context.Context, _ uint64, body []byte) (msgp.Marshaler, error) {
	var q wire.EvacuationsRequest
	if _, err := q.UnmarshalMsg(body); err != nil {
		return nil, errors.Mark(err, ErrEvacuations)
	}

	l := e.list()
	if q.DataCentre != "" {
		l = slices.DeleteFunc(l, func(x wire.Evacuation) bool { return x.DataCentre != q.DataCentre })
	}

	return &wire.EvacuationsReply{Evacuations: l}, nil
}
