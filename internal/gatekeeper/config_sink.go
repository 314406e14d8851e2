package gatekeeper

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/auburntray/auburntray/internal/cataloger"
	"github.com/auburntray/auburntray/internal/watcher"
)

// configSink puts the configurations that are read in force. It is not safe for concurrent
// use; one watcher.Watcher calls it.
type configSink struct {
	facts    *facts
	key      string
	decode   func([]byte) (cataloger.Document, error)
	refusals *refusals
	// refused is the offset after the last record that was refused.
	refused int64
}

var _ watcher.Sink = (*configSink)(nil)

// Reset is part of watcher.Sink. Whether a configuration is older shows by its version.
func (s *configSink) Reset(l []watcher.Record, _ int64) error {
	for _, r := range l {
		s.Change(r)
	}

	return nil
}

// Change is part of watcher.Sink. A configuration that can't be used is passed
// over; the one in force stands.
func (s *configSink) Change(r watcher.Record) {
	if r.Key != s.key || len(r.Value) == 0 {
		return
	}

	d, err := s.decode(r.Value)
	if err == nil {
		var c *cataloger.Catalog

		if c, err = cataloger.New(d); err == nil {
			s.facts.enforce(c, r)

			return
		}
	}

	// The newest record of the key is read again with each whole list.
	if r.Offset < s.refused {
		return
	}

	s.refused = r.Offset + 1
	s.refusals.tell(err, logrus.Fields{"event": "catalogRefused", "version": d.Version, "offset": r.Offset})
}

// Read is part of watcher.Sink.
func (s *configSink) Read(time.Duration) { s.refusals.flush() }

// Failed is part of watcher.Sink.
func (s *configSink) Failed(error) {}
