package filterer

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/auburntray/auburntray/internal/digester"
	"github.com/auburntray/auburntray/internal/discoverer"
	"github.com/auburntray/auburntray/internal/exchanger"
	"github.com/auburntray/auburntray/internal/hasher"
	"github.com/auburntray/auburntray/internal/matcher"
	"github.com/auburntray/auburntray/internal/quarantiner"
)

const (
	// maxOtherTargets is how many other targets are dialled to distinguish a crash from a
	// network partition.
	maxOtherTargets = 2
	// crashWindow is the period within which crashes of a target, reported by any router,
	// count as the same crash. A target keeps its ID when it restarts, and a restart takes
	// longer than this period.
	crashWindow = time.Second
)

// quarantine records which calls were running on targets that crashed, for all routers.
type quarantine interface {
	Admit(c context.Context, subjects []digester.Digest, deadline time.Time) (quarantiner.Verdict, bool, func())
	RecordCrash(subjects []digester.Digest, p discoverer.Name) quarantiner.Verdict
	RecordServed(subjects []digester.Digest)
}

// prober determines whether a target's process has crashed.
type prober interface {
	Crashed(c context.Context, a netip.AddrPort, others []netip.AddrPort) bool
}

// RefuseQuarantined refuses calls that repeatedly crashed targets. Any further target that runs such
// a call would crash too and interrupt all its other calls. The zero value refuses no call.
type RefuseQuarantined struct {
	// Quarantine decides which calls are refused; nil refuses none.
	Quarantine quarantine
	// Targets checks whether a target crashed; it is required unless Quarantine is nil.
	Targets prober
}

// Name implements exchanger.Filter.
func (RefuseQuarantined) Name() string { return "isolate" }

// Apply computes the digest of the call and fails with a Refusal if the call is
// quarantined.
func (i RefuseQuarantined) Apply(c context.Context, x *exchanger.Exchange) error {
	x.Digest = digester.Of(x.Customer, x.Request.Method, x.Request.URL.RequestURI(), x.Body)

	v, ok := i.allow(c, x)
	if ok {
		return nil
	}

	return exchanger.Refuse(http.StatusServiceUnavailable, exchanger.CodeQuarantined, v.RetryAfter(), "%s", v.Reason(time.Now()))
}

// allow reports whether the call may be sent to a target now, and otherwise returns the
// verdict that forbids it. It may wait for another trial of the same call.
func (i RefuseQuarantined) allow(c context.Context, x *exchanger.Exchange) (quarantiner.Verdict, bool) {
	if i.Quarantine == nil {
		return quarantiner.Verdict{}, true
	}

	i.endTrial(x)

	v, ok, end := i.Quarantine.Admit(c, []digester.Digest{x.Digest}, x.Deadline)
	x.EndTrial = end

	return v, ok
}

// endTrial reports that the current trial of the call has ended, if there is one.
func (RefuseQuarantined) endTrial(x *exchanger.Exchange) {
	if x.EndTrial != nil {
		x.EndTrial()
		x.EndTrial = nil
	}
}

// recordResult records whether the target crashed while running the call or served it.
func (i RefuseQuarantined) recordResult(c context.Context, x *exchanger.Exchange, err error) {
	switch {
	case i.Quarantine == nil:
	case err == nil:
		i.Quarantine.RecordServed([]digester.Digest{x.Digest})
	case c.Err() == nil && x.Result.Sent && !x.Result.NotRun && x.Result.TargetFailed && i.Targets.Crashed(c, x.Target.Address, otherTargets(x)):
		v := i.Quarantine.RecordCrash([]digester.Digest{x.Digest}, processName(x.Target, time.Now()))

		logrus.WithFields(logrus.Fields{
			"event": "targetEnded", "request": x.ID, "digest": x.Digest, "target": x.Target.Name, "ends": v.Crashes, "standing": v.Status,
		}).Warn()
	}
}

// otherTargets returns the addresses of other targets of the rule in the same data centre as
// the call's target. If these refuse connections too, the data centre may be unreachable
// rather than the target crashed.
func otherTargets(x *exchanger.Exchange) []netip.AddrPort {
	var o []netip.AddrPort

	for _, t := range x.Rule.Targets {
		if t.ID != x.Target.ID && t.DataCentre == x.Target.DataCentre {
			o = append(o, t.Address)
		}
	}

	return o[:min(len(o), maxOtherTargets)]
}

// processName returns a name for the process of a target that has just crashed. It is the
// same for all routers that notice the crash within one crashWindow.
func processName(t *matcher.Target, now time.Time) discoverer.Name {
	k := hasher.Mix(uint64(t.ID), uint64(now.Truncate(crashWindow).UnixMilli()))

	return discoverer.Name(uint32(k)) //nolint:gosec // The name is the low half of the hash.
}
