package gatekeeper

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/auburntray/auburntray/internal/cataloger"
	"github.com/auburntray/auburntray/internal/watcher"
)

const (
	// lineBurst is how many log lines about invalid records may be written at once; lineInterval is
	// the interval between further lines. A writer in a loop produces thousands of records a
	// second; logging each would fill the disk and delay the lines about calls. The metrics
	// count every record.
	lineBurst    = 20
	lineInterval = time.Second
	// maxErrorBytes limits the length of a logged error, which may contain names of any length.
	maxErrorBytes = 256
)

// counter counts invalid records.
type counter interface {
	InvalidRecord(stream, reason string)
}

// invalidRecordReporter counts the invalid records of a stream and logs them at a limited rate. It is
// not safe for concurrent use.
type invalidRecordReporter struct {
	stream  string
	counter counter
	// fullBurstAt is the time from which lineBurst lines may be logged at once again. Each line that
	// is logged postpones it by lineInterval.
	fullBurstAt time.Time
	// suppressed counts the records that were not logged.
	suppressed int
}

// report counts an invalid record, and logs it with the fields f if the rate permits.
func (r *invalidRecordReporter) report(err error, f logrus.Fields) {
	x, field := classify(err)
	r.counter.InvalidRecord(r.stream, string(x))

	if !r.allowLine() {
		r.suppressed++

		return
	}

	f["reason"] = string(x)
	f["error"] = truncate(err.Error())

	if field != "" {
		f["field"] = field
	}

	logrus.WithFields(f).Error()
}

// flush logs the number of suppressed records, if the rate permits.
func (r *invalidRecordReporter) flush() {
	if r.suppressed == 0 || !r.allowLine() {
		return
	}

	logrus.WithFields(logrus.Fields{"event": "refusalsUnsaid", "stream": r.stream, "records": r.suppressed}).Warn()
	r.suppressed = 0
}

// allowLine reports whether a line may be logged now, and counts it against the rate.
func (r *invalidRecordReporter) allowLine() bool {
	n := time.Now()
	if r.fullBurstAt.Before(n) {
		r.fullBurstAt = n
	}

	if r.fullBurstAt.Sub(n) > (lineBurst-1)*lineInterval {
		return false
	}

	r.fullBurstAt = r.fullBurstAt.Add(lineInterval)

	return true
}

// classify returns the kind of fault of an invalid record, one of a fixed set, and the name of the
// invalid field if it is known.
func classify(err error) (watcher.Fault, string) {
	var u *watcher.RecordError

	switch {
	case errors.As(err, &u):
		return u.Fault, u.Field
	case errors.Is(err, cataloger.ErrCatalog):
		return watcher.Contradiction, ""
	default:
		return watcher.Unreadable, ""
	}
}

func truncate(s string) string {
	if len(s) <= maxErrorBytes {
		return s
	}

	return s[:maxErrorBytes] + "..."
}
