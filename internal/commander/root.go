// Package commander is the command line of auburntray.
package commander

import (
	"os"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"
)

// New returns the command line of auburntray.
func New() *cobra.Command {
	c := &cobra.Command{
		Use:           "auburntray",
		Short:         "A router fleet for very many returning chats",
		SilenceUsage:  true,
		SilenceErrors: true,
	}

	c.AddCommand(newRouter(), newPublish(), newShow(), newHistory(), newWatch(), newDrain(), newLoad(), newBench(), newSettings(), newPlatform(), newExplain())

	return c
}

// SetUpLogs makes logs go to the standard error, one line of key=value pairs an
// event, from a level on.
func SetUpLogs(level string) error {
	l, err := logrus.ParseLevel(level)
	if err != nil {
		return err
	}

	logrus.SetLevel(l)
	logrus.SetOutput(os.Stderr)
	logrus.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: "2006-01-02T15:04:05.000Z07:00"})

	return nil
}
