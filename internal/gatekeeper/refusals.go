package gatekeeper

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/auburntray/auburntray/internal/cataloger"
	"github.com/auburntray/auburntray/internal/watcher"
)

const (
	// lineBurst is how many lines on refused records may come together, and lineEvery how
	// often one may come in the long run. A writer that never stops writes thousands of
	// records a second; a line of each would fill the disk, and delay the lines that say
	// what happens to calls. The counts have them all.
	lineBurst = 20
	lineEvery = time.Second
	// maxError bounds the text of an error in bytes: it may hold names of any length.
	maxError = 256
)

// counter counts records that can't be used.
type counter interface {
	Unusable(stream, reason string)
}

// refusals tells of the records of a stream that can't be used: each is counted, and a line
// is written of as many as a reader of the log can take. It is not safe for concurrent use.
type refusals struct {
	stream  string
	counter counter
	// full is when lineBurst lines may come together again; each line moves it by lineEvery.
	full time.Time
	// unsaid counts the records without a line.
	unsaid int
}

// tell counts a refused record and writes its line, if there may be one.
func (r *refusals) tell(err error, f logrus.Fields) {
	x, field := fault(err)
	r.counter.Unusable(r.stream, string(x))

	if !r.spend() {
		r.unsaid++

		return
	}

	f["reason"] = string(x)
	f["error"] = shorten(err.Error())

	if field != "" {
		f["field"] = field
	}

	logrus.WithFields(f).Error()
}

// flush tells how many records had no line, when there may be one again.
func (r *refusals) flush() {
	if r.unsaid == 0 || !r.spend() {
		return
	}

	logrus.WithFields(logrus.Fields{"event": "refusalsUnsaid", "stream": r.stream, "records": r.unsaid}).Warn()
	r.unsaid = 0
}

// spend says whether a line may be written now, and counts it.
func (r *refusals) spend() bool {
	n := time.Now()
	if r.full.Before(n) {
		r.full = n
	}

	if r.full.Sub(n) > (lineBurst-1)*lineEvery {
		return false
	}

	r.full = r.full.Add(lineEvery)

	return true
}

// fault returns why a record can't be used, of a fixed set, and the field at fault.
func fault(err error) (watcher.Fault, string) {
	var u *watcher.Unusable

	switch {
	case errors.As(err, &u):
		return u.Fault, u.Field
	case errors.Is(err, cataloger.ErrCatalog):
		return watcher.Contradiction, ""
	default:
		return watcher.Unreadable, ""
	}
}

func shorten(s string) string {
	if len(s) <= maxError {
		return s
	}

	return s[:maxError] + "..."
}
