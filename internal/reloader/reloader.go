// Package reloader applies a settings file again when it has changed.
package reloader

import (
	"bytes"
	"context"
	"os"
	"time"

	"github.com/sirupsen/logrus"
)

// lookEvery is how late a change that comes without a signal may be noticed. A look
// reads some kilobytes.
const lookEvery = 2 * time.Second

// Reloader follows one file. Its method Run may be called once.
type Reloader struct {
	path  string
	apply func([]byte) error
	last  []byte
	hangs <-chan struct{}
}

// New returns a Reloader of the file at a path, which is also looked at whenever a
// channel has an element. The function is given the file's content after each change from
// the one in force; its error refuses the content, and what was in force stands.
//
// The content in force is the caller's to give. A file that was read once more here may
// have changed since: the change would count as known and never come into force.
func New(path string, inForce []byte, hangs <-chan struct{}, apply func([]byte) error) *Reloader {
	return &Reloader{path: path, apply: apply, last: inForce, hangs: hangs}
}

// Run looks at the file when it is told to and once in a while, until the context
// ends.
func (r *Reloader) Run(c context.Context) {
	t := time.NewTicker(lookEvery)
	defer t.Stop()

	for {
		select {
		case <-r.hangs:
			r.look("signal")
		case <-t.C:
			r.look("timer")
		case <-c.Done():
			return
		}
	}
}

// look applies the file if it has changed. A file that is just being written may be
// cut short; it is refused, and looked at again when it is whole.
func (r *Reloader) look(cause string) {
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
