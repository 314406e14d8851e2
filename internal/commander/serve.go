package commander

import (
	"context"
	"time"

	"go.uber.org/dig"
	"go.uber.org/fx"
)

// startWait is how long a stop waits for a start that is in progress. A start takes a few
// milliseconds. A start that takes longer is blocked; the process serves no calls yet, so it may
// exit.
const startWait = time.Second

// serve builds an application, starts it, and stops it once stopping is closed or receives.
//
// The start may block, for example while it reads settings from a disk that does not respond. A stop
// during such a start returns after startWait; waiting longer would delay the exit until the
// process is killed.
func serve(stopping <-chan struct{}, build func() (*fx.App, error)) error {
	type start struct {
		app *fx.App
		err error
	}

	started := make(chan start, 1)

	go func() {
		a, err := build()
		if err == nil {
			err = startApp(a)
		}

		started <- start{a, err}
	}()

	var s start

	select {
	case s = <-started:
	case <-stopping:
		select {
		case s = <-started:
		case <-time.After(startWait):
			return nil
		}
	}

	if s.err != nil {
		return s.err
	}

	<-stopping

	c, end := context.WithTimeout(context.Background(), s.app.StopTimeout())
	defer end()

	return s.app.Stop(c)
}

// startApp starts an application within its start time-out.
func startApp(a *fx.App) error {
	c, stop := context.WithTimeout(context.Background(), a.StartTimeout())
	defer stop()

	return a.Start(c)
}

// buildError returns the root cause for which an application cannot be built, without the chain of
// components that depend on the failed one, so that operators see what to correct.
func buildError(a *fx.App) error {
	return dig.RootCause(a.Err())
}
