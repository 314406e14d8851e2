package forwarder

import (
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/auburntray/auburntray/internal/accountant"
	"github.com/auburntray/auburntray/internal/admitter"
	"github.com/auburntray/auburntray/internal/cataloger"
	"github.com/auburntray/auburntray/internal/digester"
	"github.com/auburntray/auburntray/internal/discoverer"
	"github.com/auburntray/auburntray/internal/hasher"
	"github.com/auburntray/auburntray/internal/pinner"
	"github.com/auburntray/auburntray/internal/selector"
)

// exchange is the state of one call. Only the goroutine that serves the call uses it; an attempt that may take over has a copy.
type exchange struct {
	writer  http.ResponseWriter
	request *http.Request
	start   time.Time

	call     Call
	catalog  *cataloger.Catalog
	rule     *cataloger.Rule
	customer string
	// regions are the regions whose targets may run the customer's calls; nil means all.
	regions  []string
	priority int
	deadline time.Time
	// body is kept until the call can't be sent again; memory holds its bytes.
	body   *accountant.Buffer
	memory *accountant.Account
	// answer holds the bytes of the current attempt's answer that were not relayed yet, and of the last one that failed; nil if
	// there are none.
	answer *accountant.Account
	// digest identifies the call's content. It is equal whenever the same call is sent, also under
	// another ID.
	digest digester.Digest
	// parts are the digests of the parts of the prompt that other calls may share: all but the last.
	parts []digester.Digest
	// endTrial ends the trials in progress: the one attempt permitted at a time for a call, or calls with a part, that is
	// suspected of crashing targets. It is nil while no trial is in progress.
	endTrial func()
	// quarantined reports whether the trial in progress is that of a quarantined call or part.
	quarantined bool
	// trialEndsAt is when the trials end though the stream goes on; zero before its first event.
	trialEndsAt time.Time

	// sharedPrefixes are the prompt prefixes that other calls share, longest first.
	sharedPrefixes []selector.Prefix
	group          string
	// tried holds the IDs of the targets that were selected; sent is the number of targets to which
	// the call was sent.
	tried []string
	sent  int
	// excluded are those of tried that are not to be selected again. A target that this instance could not connect to
	// may be selected for the call to be sent through another instance.
	excluded []string
	// dialFailures is how often this instance could not connect to a target.
	dialFailures int
	// delegate is the instance through which the call was last sent; invalid if it was sent directly. noDelegate
	// is set when no instance reaches the group.
	delegate   netip.AddrPort
	noDelegate bool
	// choice is the last target selected.
	choice selector.Choice
	// reservation is the slot reserved for the last choice at the target's home node.
	reservation reservation
	// uncounted is set when no home has answered a request for a slot at a brittle target.
	uncounted bool
	// sharded is set when the call may use only its customer's shard of the targets.
	sharded bool
	// targetsFull is set when no target from which a slot was requested had a free slot or space in
	// its queue.
	targetsFull bool
	// coldTargets is how many targets the last selection skipped because they are cold.
	coldTargets int
	// fullTargets is how many targets the last selection skipped because they are brittle and have no room.
	fullTargets int
	// crowdedTargets is how many targets have no room within the bound, while others of the group may not run the call.
	crowdedTargets int
	// place is the call's place among those that only targets of one software version may run; nil if it needs none. room is what
	// these targets could take at the last selection.
	place *admitter.Place
	// noPlace reports that the last selection found no place.
	noPlace bool
	room    admitter.Room
	// backingOff is how many targets the last selection skipped because they requested a backoff.
	backingOff int
	// reply is the reply of the last target.
	reply Reply
	// attemptStart is when the current attempt began.
	attemptStart time.Time
	// ticket is the call's admission to a lane: the lane of the calls whose answer is expected to
	// begin within their latency objective or, if late is set, the lane of the calls expected to
	// begin later.
	ticket *admitter.Ticket
	late   bool
	// mayHaveRun is set when a target may have run the call.
	mayHaveRun bool
	// relayed is set when a part of the answer has been sent to the caller.
	relayed bool
	// stream identifies the stream, whichever calls bring its events; zero if the call is none or does not state which one
	// it resumes.
	stream pinner.Stream
	// version is the software version of the target that began the stream; zero if there is no event yet or the version
	// is unknown. Only targets of that version may go on with the stream.
	version discoverer.Version
	// begunAt is the software version of the target at which the stream was begun last; zero if at none.
	begunAt discoverer.Version
	// lastEvent is the ID of the last event that the caller has received.
	lastEvent string
	// firstPart is the time from the start of the call to the first part of the answer; longestGap
	// is the longest time between two parts; lastRelay is when the latest part was relayed.
	firstPart, longestGap time.Duration
	lastRelay             time.Time
}

// recordRelay records that a part of the answer is being sent to the caller.
func (x *exchange) recordRelay(now time.Time) {
	if x.lastRelay.IsZero() {
		x.firstPart = now.Sub(x.start)
	} else {
		x.longestGap = max(x.longestGap, now.Sub(x.lastRelay))
	}

	x.lastRelay = now
}

// prefixes returns the hashes of the prompt prefixes that other calls share, longest first. The
// last part is specific to the call and left out, unless it is the only one.
func (x *exchange) prefixes() []selector.Prefix {
	p := x.call.Prompt.Parts

	var o []selector.Prefix

	k, n := hasher.Key(x.call.Prompt.Model), 0

	for i := range max(len(p)-1, min(len(p), 1)) {
		k = hasher.Mix(k, hasher.Key(p[i].ID))
		n += p[i].Tokens
		o = append(o, selector.Prefix{Key: k, Tokens: n})
	}

	slices.Reverse(o)

	return o
}

// maxParts bounds the parts of a prompt that are remembered by their digests.
const maxParts = 16

// partDigests returns the digests of the parts of a prompt that other calls may share: all but the last, each once.
func partDigests(p Prompt) []digester.Digest {
	var o []digester.Digest

	for i := range min(max(len(p.Parts)-1, 0), maxParts) {
		if d := digester.OfPart(p.Parts[i].ID); !slices.Contains(o, d) {
			o = append(o, d)
		}
	}

	return o
}

// subjects returns what may be the cause if a target crashes during the call: the call and the parts of its prompt.
func (x *exchange) subjects() []digester.Digest {
	return append([]digester.Digest{x.digest}, x.parts...)
}

// splitKey returns the key by which calls are split between groups. Calls that share a prompt
// prefix have the same key; other calls use their ID.
func (x *exchange) splitKey() uint64 {
	if len(x.sharedPrefixes) > 0 {
		return x.sharedPrefixes[0].Key
	}

	return hasher.Key(x.call.ID)
}

// query describes the call for the selection of a target.
func (x *exchange) query(s Settings, r selector.Route) selector.Query {
	q := selector.Query{
		Route: r, Prefixes: x.sharedPrefixes, DataCentre: s.DataCentre, Tried: x.tried, Draw: hasher.Key(x.call.ID),
		Customer: hasher.Key(x.customer), Centres: x.allowedCentres(s.Regions), Version: x.version,
	}

	if r == selector.Delegated {
		q.Tried = x.excluded
	}

	if g, ok := x.catalog.Group(x.group); ok {
		q.ColdFor, q.ColdRate = g.ColdFor, g.ColdRate
	}

	return q
}

// allowedCentres returns the data centres whose targets may run the call, or nil if all may. The
// rule's and the customer's regions both apply; a data centre whose region is unknown is excluded.
func (x *exchange) allowedCentres(regions map[string]string) map[string]bool {
	if x.rule.Regions == nil && x.regions == nil {
		return nil
	}

	o := make(map[string]bool)
	in := func(l []string, r string) bool { return l == nil || slices.Contains(l, r) }

	for c, r := range regions {
		if r != "" && in(x.rule.Regions, r) && in(x.regions, r) {
			o[c] = true
		}
	}

	return o
}

// kindLabel returns the call's kind for use in metrics.
func (x *exchange) kindLabel() string {
	if x.rule == nil {
		return "none"
	}

	return x.rule.Kind.String()
}

// logFields returns the fields common to all log lines about the call.
func (x *exchange) logFields() logrus.Fields {
	l := logrus.Fields{"id": x.call.ID, "took": time.Since(x.start).Round(time.Microsecond)}

	if x.catalog != nil {
		l["version"] = x.catalog.Version
	}

	if x.rule != nil {
		l["rule"] = x.rule.Name
		l["customer"] = x.customer
		l["priority"] = x.priority
		l["late"] = x.late
		l["group"] = x.group
		l["tried"] = strings.Join(x.tried, ",")
	}

	if x.digest != 0 {
		l["digest"] = x.digest
	}

	if len(x.parts) > 0 {
		l["parts"] = joinDigests(x.parts)
	}

	if x.sharded {
		l["confined"] = true
	}

	if x.delegate.IsValid() {
		l["delegate"] = x.delegate
	}

	if x.coldTargets > 0 {
		l["cold"] = x.coldTargets
	}

	if x.backingOff > 0 {
		l["resting"] = x.backingOff
	}

	if x.choice.Target != nil {
		l["load"] = int(x.choice.Load)
		l["bound"] = int(x.choice.Bound)
		l["usable"] = x.choice.Usable
		l["held"] = x.choice.Cached
		l["targetVersion"] = x.choice.Target.Version
		l["room"] = x.reservation.verdict.Outcome
		l["counted"] = x.reservation.verdict.Calls
	}

	x.addStreamFields(l)

	if x.reply.Leaving {
		l["saysLeaving"] = true
	}

	if x.reply.Backoff > 0 {
		l["asksRest"] = x.reply.Backoff
	}

	if !x.lastRelay.IsZero() {
		l["first"] = x.firstPart.Round(time.Microsecond)
		l["longestPause"] = x.longestGap.Round(time.Microsecond)
	}

	if x.choice.FetchFrom != nil {
		l["fetchedFrom"] = x.choice.FetchFrom.ID
	}

	return l
}

// joinDigests returns digests separated by commas.
func joinDigests(l []digester.Digest) string {
	o := make([]string, len(l))
	for i, d := range l {
		o[i] = d.String()
	}

	return strings.Join(o, ",")
}

// addStreamFields adds the log fields about the software version that began a stream.
func (x *exchange) addStreamFields(l logrus.Fields) {
	if x.call.LastEvent != "" {
		l["resumes"] = x.call.Resumes
		l["resumesAfter"] = x.call.LastEvent
	}

	if x.version != 0 {
		l["streamVersion"] = uint64(x.version)
	}
}
