// Package commander is the command line of auburntray.
package commander

import (
	"io"
	"log"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"github.com/auburntray/auburntray/internal/logger"
	"github.com/auburntray/auburntray/internal/signaler"
)

// New returns the command line of auburntray.
func New() *cobra.Command {
	c := &cobra.Command{
		Use:           "auburntray",
		Short:         "A router fleet for very many returning chats",
		SilenceUsage:  true,
		SilenceErrors: true,
		PersistentPreRun: func(c *cobra.Command, _ []string) {
			if !isLongRunning(c) {
				signaler.Release()
			}
		},
	}

	c.AddCommand(newRouter(), newPublish(), newShow(), newHistory(), newWatch(), newDrain(), newLoad(), newBench(), newSettings(), newPlatform(), newExplain(), newHeld(), newEvacuations())

	return c
}

// annotationLongRunning marks the commands that serve until they are told to stop.
const annotationLongRunning = "longRunning"

func longRunning() map[string]string {
	return map[string]string{annotationLongRunning: ""}
}

func isLongRunning(c *cobra.Command) bool {
	_, ok := c.Annotations[annotationLongRunning]

	return ok
}

// setUpLogger makes logs go to a writer in the background, one line of key=value pairs
// an event, from a level on. It returns the clean-up function of the Logger too, and
// fails with ErrUsage.
func setUpLogger(level string, w io.Writer) (*logger.Logger, func(), error) {
	x, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, nil, errors.Mark(err, ErrUsage)
	}

	l, flush := logger.New(w)

	log.SetFlags(0)
	log.SetOutput(libraries{})
	logrus.SetLevel(x)
	logrus.SetOutput(l)
	logrus.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: logger.TimeFormat})

	b := time.Now()
	h := make(logrus.LevelHooks)
	h.Add(logger.NewMonotonicHook(b, func() time.Duration { return time.Since(b) }))
	logrus.StandardLogger().ReplaceHooks(h)

	return l, flush, nil
}

// libraries takes the lines that libraries write by themselves.
//
// An HTTP server writes them to the standard error, and waits for whoever reads it. With a
// reader that stalls, the first connection that can't be taken stops the listener for good.
type libraries struct{}

// Write is part of io.Writer. It never fails.
func (libraries) Write(b []byte) (int, error) {
	logrus.WithFields(logrus.Fields{"event": "libraryLine", "text": strings.TrimSpace(string(b))}).Warn()

	return len(b), nil
}

// logSignal logs a signal that came.
func logSignal(s os.Signal, u signaler.Effect) {
	logrus.WithFields(logrus.Fields{"event": "signalTaken", "signal": s, "use": u}).Info()
}
