// Package hearer collects the lines of the log in tests.
package hearer

import (
	"io"
	"testing"

	"github.com/sirupsen/logrus"
	logs "github.com/sirupsen/logrus/hooks/test"
)

// New returns what collects the lines of the log, from the level Info on, until the test ends.
func New(t testing.TB) *logs.Hook { //nolint:thelper // One letter, as in all code here.
	t.Helper()

	l, h := logrus.GetLevel(), logs.NewGlobal()

	logrus.SetLevel(logrus.InfoLevel)
	logrus.SetOutput(io.Discard)
	t.Cleanup(func() {
		logrus.SetLevel(l)
		logrus.StandardLogger().ReplaceHooks(make(logrus.LevelHooks))
	})

	return h
}
