// Package commander implements the command line of auburntray.
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

// New returns the root command of auburntray.
func New(l ...Option) *cobra.Command {
	c := &cobra.Command{
		Use:           "auburntray",
		Short:         "A fleet of routers for large numbers of returning chats",
		SilenceUsage:  true,
		SilenceErrors: true,
		PersistentPreRun: func(c *cobra.Command, _ []string) {
			if !isLongRunning(c) {
				signaler.Release()
			}
		},
	}

	c.AddCommand(newRouter(), newPublish(), newShow(), newHistory(), newWatch(), newDrain(), newLoad(), newBench(), newSettings(), newPlatform(newOptions(l)), newExplain(), newQuarantine(), newEvacuations())

	return c
}

// annotationLongRunning marks the commands that run until they receive a signal to stop.
const annotationLongRunning = "longRunning"

func longRunning() map[string]string {
	return map[string]string{annotationLongRunning: ""}
}

func isLongRunning(c *cobra.Command) bool {
	_, ok := c.Annotations[annotationLongRunning]

	return ok
}

// setUpLogger makes the standard loggers write events of at least the given level to a writer, in
// the background and as one line of key=value pairs for each event. It returns the Logger and its
// clean-up function, and fails with ErrUsage when the level is unknown.
func setUpLogger(level string, w io.Writer) (*logger.Logger, func(), error) {
	x, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, nil, errors.Mark(err, ErrUsage)
	}

	l, flush := logger.New(w)

	log.SetFlags(0)
	log.SetOutput(libraryWriter{})
	logrus.SetLevel(x)
	logrus.SetOutput(l)
	logrus.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: logger.TimeFormat})

	b := time.Now()
	h := make(logrus.LevelHooks)
	h.Add(logger.NewMonotonicHook(b, func() time.Duration { return time.Since(b) }))
	logrus.StandardLogger().ReplaceHooks(h)

	return l, flush, nil
}

// libraryWriter logs the lines that libraries write to the standard logger.
//
// By default these go to standard error, and the write blocks while the reader of standard error
// is stalled. An HTTP server that logs a failed accept would then accept no further connections.
type libraryWriter struct{}

// Write logs a line. It never fails.
func (libraryWriter) Write(b []byte) (int, error) {
	logrus.WithFields(logrus.Fields{"event": "libraryLine", "text": strings.TrimSpace(string(b))}).Warn()

	return len(b), nil
}

// logSignal logs a received signal.
func logSignal(s os.Signal, u signaler.Effect) {
	logrus.WithFields(logrus.Fields{"event": "signalTaken", "signal": s, "use": u}).Info()
}
