package filterer

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/auburntray/auburntray/internal/digester"
	"github.com/auburntray/auburntray/internal/enroller"
	"github.com/auburntray/auburntray/internal/exchanger"
	"github.com/auburntray/auburntray/internal/hasher"
	"github.com/auburntray/auburntray/internal/matcher"
	"github.com/auburntray/auburntray/internal/quarantiner"
)

const (
	// witnessesMost is how many other targets are dialled to tell an end from a cut.
	witnessesMost = 2
	// sameEnd is how long the ends of a target that routers find are taken for one. It has an
	// ID that stays, and is not back so soon.
	sameEnd = time.Second
)

// quarantine remembers under which calls targets have ended, at all routers.
type quarantine interface {
	Try(c context.Context, d digester.Digest, deadline time.Time) (quarantiner.Verdict, bool, func())
	Ended(d digester.Digest, p enroller.Name) quarantiner.Verdict
	Served(d digester.Digest)
}

// prober finds out whether a target's process has ended.
type prober interface {
	Ended(c context.Context, a netip.AddrPort, others []netip.AddrPort) bool
}

// Isolate refuses calls under which targets have ended again and again, before they cost
// anything: each target that began to run one would end too, and break all its other calls. The
// zero value refuses none.
type Isolate struct {
	Quarantine quarantine
	Targets    prober
}

// Name returns the name of the step.
func (Isolate) Name() string { return "isolate" }

// Apply lets a call go on, or refuses it.
func (i Isolate) Apply(c context.Context, x *exchanger.Exchange) error {
	x.Digest = digester.Of(x.Customer, x.Request.Method, x.Request.URL.RequestURI(), x.Body)

	v, ok := i.letOut(c, x)
	if ok {
		return nil
	}

	return exchanger.Refuse(http.StatusServiceUnavailable, exchanger.CodeHeldBack, v.RetryAfter(), "%s", v.Reason(time.Now()))
}

// letOut says whether a call may be sent to a target now.
func (i Isolate) letOut(c context.Context, x *exchanger.Exchange) (quarantiner.Verdict, bool) {
	if i.Quarantine == nil {
		return quarantiner.Verdict{}, true
	}

	i.over(x)

	v, ok, end := i.Quarantine.Try(c, x.Digest, x.Deadline)
	x.EndTrial = end

	return v, ok
}

// over tells that the sending that was let out is over, if one was.
func (Isolate) over(x *exchanger.Exchange) {
	if x.EndTrial != nil {
		x.EndTrial()
		x.EndTrial = nil
	}
}

// learn takes from an attempt whether its target has ended under the call, or has survived it.
func (i Isolate) learn(c context.Context, x *exchanger.Exchange, err error) {
	switch {
	case i.Quarantine == nil:
	case err == nil:
		i.Quarantine.Served(x.Digest)
	case c.Err() == nil && x.Result.Sent && !x.Result.NotRun && x.Result.TargetFailed && i.Targets.Ended(c, x.Target.Address, witnesses(x)):
		v := i.Quarantine.Ended(x.Digest, process(x.Target, time.Now()))

		logrus.WithFields(logrus.Fields{
			"event": "targetEnded", "request": x.ID, "digest": x.Digest, "target": x.Target.Name, "ends": v.Crashes, "standing": v.Status,
		}).Warn()
	}
}

// witnesses returns the addresses of other targets of the rule in the data centre of the call's:
// where those refuse too, it may just be cut off.
func witnesses(x *exchanger.Exchange) []netip.AddrPort {
	var o []netip.AddrPort

	for _, t := range x.Rule.Targets {
		if t.ID != x.Target.ID && t.DataCentre == x.Target.DataCentre {
			o = append(o, t.Address)
		}
	}

	return o[:min(len(o), witnessesMost)]
}

// process names the process of a target that has just ended.
func process(t *matcher.Target, now time.Time) enroller.Name {
	k := hasher.Mix(uint64(t.ID), uint64(now.Truncate(sameEnd).UnixMilli()))

	return enroller.Name(uint32(k)) //nolint:gosec // The low half is the name.
}
