// Package explainer reconstructs the history of one call from the logs of all instances.
package explainer

import (
	"bufio"
	"fmt"
	"io"
	"sort"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logfmt/logfmt"
)

// ErrLog marks a log that can't be read, and an output that can't be written.
var ErrLog = errors.New("reading or writing log lines failed")

// The keys of the log fields that are read from each line.
const (
	fieldTime = "time"
	// fieldMonotonic is the time by the monotonic clock. Lines of older versions have none.
	fieldMonotonic = "steady"
	fieldEvent     = "event"
	fieldID        = "id"
	fieldLevel     = "level"
	// maxLineBytes is the length of the shortest line on which Read fails.
	maxLineBytes = 1 << 20
)

// Line is one log line about the call.
type Line struct {
	// Source is the name of the log.
	Source string
	// Time is by the monotonic clock if the line has that time, so that the lines of one process stay
	// in their order when the wall clock steps, and by the wall clock otherwise.
	Time  time.Time
	Event string
	// Fields are the remaining fields as key=value, in the order of the line.
	Fields []string
}

// Explainer collects the log lines about one call. It is not safe for concurrent use.
type Explainer struct {
	id    string
	lines []Line
}

// New returns an Explainer for the call with the given ID.
func New(id string) *Explainer {
	return &Explainer{id: id}
}

// Read adds the lines of a log that are about the call. It skips text before the first field of
// a line, which a log collector may add, and lines that are not logfmt. It fails with ErrLog.
func (e *Explainer) Read(source string, r io.Reader) error {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)

	for s.Scan() {
		t := s.Text()
		if !strings.Contains(t, e.id) {
			continue
		}

		if i := strings.Index(t, fieldTime+"="); i > 0 {
			t = t[i:]
		}

		if l, ok := e.parse(source, t); ok {
			e.lines = append(e.lines, l)
		}
	}

	if err := s.Err(); err != nil {
		return errors.Mark(err, ErrLog)
	}

	return nil
}

// parse parses a line and reports whether it is valid and about the call.
func (e *Explainer) parse(source, text string) (Line, bool) {
	l := Line{Source: source}
	found := false

	d := logfmt.NewDecoder(strings.NewReader(text))
	if !d.ScanRecord() {
		return l, false
	}

	for d.ScanKeyval() {
		k, v := string(d.Key()), string(d.Value())

		switch k {
		case fieldTime, fieldMonotonic:
			x, err := time.Parse(time.RFC3339Nano, v)
			if err != nil {
				return l, false
			}

			if l.Time.IsZero() || k == fieldMonotonic {
				l.Time = x
			}
		case fieldEvent:
			l.Event = v
		case fieldLevel:
		case fieldID:
			found = v == e.id
		default:
			l.Fields = append(l.Fields, k+"="+v)
		}
	}

	return l, found && d.Err() == nil
}

// Write writes the lines ordered by time, so that the one with the call's outcome is usually the
// last, and returns their number. It fails with ErrLog.
func (e *Explainer) Write(w io.Writer) (int, error) {
	sort.SliceStable(e.lines, func(a, b int) bool { return e.lines[a].Time.Before(e.lines[b].Time) })

	for _, l := range e.lines {
		_, err := fmt.Fprintf(w, "%s  %-14s %s  [%s]\n", l.Time.Format("15:04:05.000"), l.Event, strings.Join(l.Fields, " "), l.Source)
		if err != nil {
			return 0, errors.Mark(err, ErrLog)
		}
	}

	return len(e.lines), nil
}
