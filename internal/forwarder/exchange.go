package forwarder

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/auburntray/auburntray/internal/admitter"
	"github.com/auburntray/auburntray/internal/cataloger"
	"github.com/auburntray/auburntray/internal/digester"
	"github.com/auburntray/auburntray/internal/hasher"
	"github.com/auburntray/auburntray/internal/selector"
)

// exchange is one call on its way. Only the goroutine that serves it touches it.
type exchange struct {
	writer  http.ResponseWriter
	request *http.Request
	start   time.Time

	call     Call
	catalog  *cataloger.Catalog
	rule     *cataloger.Rule
	customer string
	// regions are those whose targets may run the customer's calls; none means all.
	regions  []string
	priority int
	deadline time.Time
	body     []byte
	// digest is the same for each sending of the call, under whatever ID.
	digest digester.Digest
	// trial ends the sending that was let out of a call under which a target has ended.
	trial func()

	// shared are the beginnings of the prompt that other calls share.
	shared []selector.Prefix
	group  string
	// tried are the IDs of the targets that were chosen; sent is how many of them
	// the call was sent to.
	tried []string
	sent  int
	// choice is the last choice of a target.
	choice selector.Choice
	// room is what the home of its target said to the last choice.
	room room
	// confined says that it goes to its customer's part of the targets only.
	confined bool
	// full says that no target that was asked had room, in its line either.
	full bool
	// cold is how many targets the last choice left out since they are cold.
	cold int
	// resting is how many it left out since they have asked for rest.
	resting int
	// reply is what the target of the last choice said of itself.
	reply Reply
	// sentAt is when the present attempt began.
	sentAt time.Time
	// ticket is the call's place among those that should begin in time, or, when late
	// is set, among the others.
	ticket *admitter.Ticket
	late   bool
	// mayHaveRun says that one of them may have run it.
	mayHaveRun bool
	// relayed says that a part of the answer is with the caller.
	relayed bool
	// lastEvent is the ID of the last event that is.
	lastEvent string
	// first is how long after its start the first part of the answer came, and
	// passed when the last one did; longest is the longest time between two.
	first, longest time.Duration
	passed         time.Time
}

// pass notes that a part of the answer goes to the caller.
func (x *exchange) pass(now time.Time) {
	if x.passed.IsZero() {
		x.first = now.Sub(x.start)
	} else {
		x.longest = max(x.longest, now.Sub(x.passed))
	}

	x.passed = now
}

// prefixes returns the hashes of the prompt's beginnings that other calls share,
// the longest first. The last part belongs to the call alone, unless it is the
// only one.
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

// splitKey is the same for the calls that share a prompt's beginning; the others
// are split by their IDs.
func (x *exchange) splitKey() uint64 {
	if len(x.shared) > 0 {
		return x.shared[0].Key
	}

	return hasher.Key(x.call.ID)
}

func (x *exchange) query(s Settings) selector.Query {
	q := selector.Query{
		Prefixes: x.shared, DataCentre: s.DataCentre, Excluded: x.tried, Draw: hasher.Key(x.call.ID),
		Customer: hasher.Key(x.customer), Centres: x.centres(s.Regions),
	}

	if g, ok := x.catalog.Group(x.group); ok {
		q.ColdFor, q.ColdRate = g.ColdFor, g.ColdRate
	}

	return q
}

// centres returns the data centres whose targets may run the call, and nil when all may. The rule
// and the customer bind both; a data centre whose region is not known is in none.
func (x *exchange) centres(regions map[string]string) map[string]bool {
	if len(x.rule.Regions)+len(x.regions) == 0 {
		return nil
	}

	o := make(map[string]bool)
	in := func(l []string, r string) bool { return len(l) == 0 || slices.Contains(l, r) }

	for c, r := range regions {
		if r != "" && in(x.rule.Regions, r) && in(x.regions, r) {
			o[c] = true
		}
	}

	return o
}

// kind names the call's kind for counts.
func (x *exchange) kind() string {
	if x.rule == nil {
		return "none"
	}

	return x.rule.Kind.String()
}

// fields are those that each line of log about the call has.
func (x *exchange) fields() logrus.Fields {
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

	if x.confined {
		l["confined"] = true
	}

	if x.cold > 0 {
		l["cold"] = x.cold
	}

	if x.resting > 0 {
		l["resting"] = x.resting
	}

	if x.choice.Target != nil {
		l["load"] = int(x.choice.Load)
		l["bound"] = int(x.choice.Bound)
		l["usable"] = x.choice.Usable
		l["held"] = x.choice.Cached
		l["room"] = x.room.verdict.Outcome
		l["counted"] = x.room.verdict.Calls
	}

	if x.reply.Leaving {
		l["saysLeaving"] = true
	}

	if x.reply.Rest > 0 {
		l["asksRest"] = x.reply.Rest
	}

	if !x.passed.IsZero() {
		l["first"] = x.first.Round(time.Microsecond)
		l["longestPause"] = x.longest.Round(time.Microsecond)
	}

	if x.choice.Source != nil {
		l["fetchedFrom"] = x.choice.Source.ID
	}

	return l
}
