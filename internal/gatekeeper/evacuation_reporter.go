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

// ErrEvacuationsRequest marks a request for evacuations that can't be decoded.
var ErrEvacuationsRequest = errors.New("invalid evacuations request")

// workload reports the calls that run at targets.
type workload interface {
	// Running returns the number of calls from this instance at the targets of a data centre.
	Running(centre string) int
	// TargetStates returns the load and health status of each target.
	TargetStates() []selector.TargetState
}

// evacuationReporter reports the calls that still run in evacuated data centres.
type evacuationReporter struct {
	state    *state
	workload workload
	// reported holds, by data centre, the start of the evacuation for which reportEmptied has logged
	// that no calls run there any more. It is used by reportEmptied only.
	reported map[string]time.Time
}

func newEvacuationReporter(f *state, w workload) *evacuationReporter {
	return &evacuationReporter{state: f, workload: w, reported: make(map[string]time.Time)}
}

// reportEmptied logs each evacuated data centre in which no call from this instance runs any
// more, once per evacuation.
func (e *evacuationReporter) reportEmptied() {
	for c, b := range e.state.evacuations().Begun {
		if e.reported[c].Equal(b) || e.workload.Running(c) > 0 {
			continue
		}

		e.reported[c] = b
		logrus.WithFields(logrus.Fields{
			"event": "evacuationEmpty", "dataCentre": c, "took": time.Since(b).Round(time.Millisecond),
		}).Info()
	}
}

// list returns the evacuations in force, sorted by the name of the data centre.
func (e *evacuationReporter) list() []wire.Evacuation {
	var o []wire.Evacuation

	for c, b := range e.state.evacuations().Begun {
		x := wire.Evacuation{
			DataCentre: c, AgeMs: uint64(time.Since(b).Milliseconds()), OwnCalls: uint32(e.workload.Running(c)), //nolint:gosec // Not negative.
		}

		load := 0.0

		for _, v := range e.workload.TargetStates() {
			if v.Target.DataCentre == c {
				x.Targets++
				load += v.Load
			}
		}

		x.AllCalls = uint32(math.Round(load))
		o = append(o, x)
	}

	slices.SortFunc(o, func(a, b wire.Evacuation) int { return strings.Compare(a.DataCentre, b.DataCentre) })

	return o
}

// HandleRequest answers an operator's request for the evacuations in force.
func (e *evacuationReporter) HandleRequest(_ context.Context, _ uint64, body []byte) (msgp.Marshaler, error) {
	var q wire.EvacuationsRequest
	if _, err := q.UnmarshalMsg(body); err != nil {
		return nil, errors.Mark(err, ErrEvacuationsRequest)
	}

	l := e.list()
	if q.DataCentre != "" {
		l = slices.DeleteFunc(l, func(x wire.Evacuation) bool { return x.DataCentre != q.DataCentre })
	}

	return &wire.EvacuationsReply{Evacuations: l}, nil
}
