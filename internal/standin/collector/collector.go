// Package collector collects log entries in tests.
package collector

import (
	"io"
	"testing"

	"github.com/sirupsen/logrus"
	logs "github.com/sirupsen/logrus/hooks/test"
)

// New returns a hook that collects the global logger's entries from level Info up until
// the test ends. Tests that use it must not run in parallel, since the logger is global.
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
