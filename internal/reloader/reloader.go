// Package reloader applies a settings file whenever it changes.
package reloader

import (
	"bytes"
	"context"
	"os"
	"time"

	"github.com/sirupsen/logrus"
)

// pollInterval bounds the time until a change without a signal is found. Each poll reads a few kilobytes.
const pollInterval = 2 * time.Second

// Reloader watches one settings file. Its method Run may be called once.
type Reloader struct {
	path  string
	apply func([]byte) error
	// last is the content that was applied or refused last.
	last    []byte
	hangUps <-chan struct{}
}

// New returns a Reloader for the file at a path, which it also reads whenever it receives from hangUps. It
// calls apply with each new content. An error of apply means that the content is refused and the settings
// in force remain; the same content is not applied again.
//
// The caller passes the content that is in force. If New read the file itself, a change since the caller
// had read it would be taken for the content in force and never be applied.
func New(path string, inForce []byte, hangUps <-chan struct{}, apply func([]byte) error) *Reloader {
	return &Reloader{path: path, apply: apply, last: inForce, hangUps: hangUps}
}

// Run checks the file after each hang-up signal and every 2 s, until the context is done.
func (r *Reloader) Run(c context.Context) {
	t := time.NewTicker(pollInterval)
	defer t.Stop()

	for {
		select {
		case <-r.hangUps:
			r.check("signal")
		case <-t.C:
			r.check("timer")
		case <-c.Done():
			return
		}
	}
}

// check applies the file if it has changed. A file that is only partly written is refused, and applied at
// a later check once it is complete.
func (r *Reloader) check(cause string) {
	l := logrus.WithFields(logrus.Fields{"cause": cause, "path": r.path})

	b, err := os.ReadFile(r.path)
	if err != nil {
		l.WithFields(logrus.Fields{"event": "reloadFailed", "error": err}).Warn()

		return
	}

	if bytes.Equal(b, r.last) {
		if cause == "signal" {
			l.WithField("event", "reloadUnchanged").Info()
		}

		return
	}

	r.last = b

	if err := r.apply(b); err != nil {
		l.WithFields(logrus.Fields{"event": "reloadRefused", "error": err}).Error()

		return
	}

	l.WithField("event", "reloaded").Info()
}
