// Package explainer tells the history of a call from the logs of all instances.
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

// ErrLog marks a log that can't be read.
var ErrLog = errors.New("the log can't be read")

// The fields that every line has.
const (
	fieldTime = "time"
	// fieldSteady is the time by a clock that does not step; older lines have none.
	fieldSteady = "steady"
	fieldEvent  = "event"
	fieldID     = "id"
	fieldLevel  = "level"
	// maxLine bounds a line.
	maxLine = 1 << 20
)

// Line is one line of log.
type Line struct {
	// Source is the file that it came from.
	Source string
	// Time is by a clock that does not step within a process, where the line has it.
	Time  time.Time
	Event string
	// Fields are the others, in their order, as name=value.
	Fields []string
}

// Explainer collects the lines about one call. It is not safe for concurrent use.
type Explainer struct {
	id    string
	lines []Line
}

// New returns an Explainer of the call with an ID.
func New(id string) *Explainer {
	return &Explainer{id: id}
}

// Read takes the lines of a log that are about the call. What comes before the
// first field of a line, as a collector may add, is passed over, and so are lines
// that are no fields at all. It fails with ErrLog.
func (e *Explainer) Read(source string, r io.Reader) error {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLine)

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

// parse reads a line and says whether it is about the call.
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
		case fieldTime, fieldSteady:
			x, err := time.Parse(time.RFC3339Nano, v)
			if err != nil {
				return l, false
			}

			if l.Time.IsZero() || k == fieldSteady {
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

// Write tells the history in the order of time, the deciding line last, and returns
// how many lines there were.
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
