package verifier

import (
	"strings"
	"sync/atomic"
)

const (
	// firstPrefix and oldVersion are the beginnings of first lines: of any answer, and of one of HTTP/1.0.
	firstPrefix = "HTTP/1."
	oldVersion  = "HTTP/1.0"
	// statusAt is where a first line states its status, and interim the first digit of an interim one.
	statusAt = len("HTTP/1.1 ")
	interim  = '1'
	// codingField is the beginning of a field that states the coding of the body.
	codingField = "transfer-encoding:"
)

// headScanner finds answers of HTTP/1.0 that state a transfer coding, among the bytes of a connection. Their framing is faulty (RFC 9112, section
// 6.1), and net/http drops the field. It keeps the beginning of one line.
type headScanner struct {
	// begins is set when an answer is expected, by another goroutine than the one that scans.
	begins atomic.Bool
	faulty atomic.Bool

	scanning, first bool
	// old and isInterim are those of the last first line.
	old, isInterim bool
	line           []byte
	length         int
}

// expect has the next bytes taken for the beginning of an answer.
func (h *headScanner) expect() {
	h.faulty.Store(false)
	h.begins.Store(true)
}

// scan scans the bytes that were read.
func (h *headScanner) scan(b []byte) {
	if len(b) > 0 && h.begins.Swap(false) {
		h.scanning, h.first = true, true
		h.line, h.length = h.line[:0], 0
	}

	for _, c := range b {
		if !h.scanning {
			return
		}

		switch {
		case c == '\n':
			h.endLine()
		case c != '\r':
			h.add(c)
		}
	}
}

// add adds a byte to the present line. Of a final answer of HTTP/1.1 only the beginning of the first line is scanned.
func (h *headScanner) add(c byte) {
	h.length++

	if len(h.line) < len(codingField) {
		h.line = append(h.line, c)
	}

	if !h.first || h.length != statusAt+1 {
		return
	}

	s := string(h.line)
	h.old, h.isInterim = strings.HasPrefix(s, oldVersion), c == interim
	h.scanning = strings.HasPrefix(s, firstPrefix) && (h.old || h.isInterim)
}

// endLine ends the present line. An empty one ends the head; another head follows that of an interim answer.
func (h *headScanner) endLine() {
	switch {
	case h.length == 0:
		h.scanning, h.first = h.isInterim, true
	case h.first:
		h.first = false
	case h.old && strings.EqualFold(string(h.line), codingField):
		h.faulty.Store(true)
	}

	h.line, h.length = h.line[:0], 0
}
