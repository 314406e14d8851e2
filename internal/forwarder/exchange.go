package forwarder

import (
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/auburntray/auburntray/internal/cataloger"
	"github.com/auburntray/auburntray/internal/chooser"
	"github.com/auburntray/auburntray/internal/hasher"
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
	priority int
	deadline time.Time
	body     []byte

	group string
	// tried are the IDs of the targets that the call was sent to.
	tried []string
	// mayHaveRun says that one of them may have run it.
	mayHaveRun bool
	// relayed says that a part of the answer is with the caller.
	relayed bool
	// lastEvent is the ID of the last event that is.
	lastEvent string
}

// key returns the hash of the prompt's last part that other calls share, zero
// when there is none.
func (x *exchange) key() uint64 {
	p := x.call.Prompt.Parts
	if len(p) == 0 {
		return 0
	}

	return hasher.Key(x.call.Prompt.Model, p[max(len(p)-2, 0)].ID)
}

func (x *exchange) query(centre string) chooser.Query {
	return chooser.Query{Key: x.key(), DataCentre: centre, Excluded: x.tried}
}

// fields are those that each line of log about the call has.
func (x *exchange) fields() logrus.Fields {
	l := logrus.Fields{"id": x.call.ID, "took": time.Since(x.start).Round(time.Microsecond)}

	if x.catalog != nil {
		l["version"] = x.catalog.Version
	}

	if x.rule != nil {
		l["rule"] = x.rule.Name
		l["group"] = x.group
		l["tried"] = x.tried
	}

	return l
}
