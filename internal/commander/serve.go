package commander

import (
	"context"
	"time"

	"go.uber.org/dig"
	"go.uber.org/fx"
)

// startMost is how long a stop waits for a start that is under way. A start takes some
// milliseconds; one that has not ended by then waits for something, and serves nobody.
const startMost = time.Second

// serve puts an application together, starts it, and stops it when it is told to.
//
// Settings may lie on a disk that hangs, and a process may be told to stop as it starts. It
// then ends at once; waiting for the start would keep it until it is killed.
func serve(stopping <-chan struct{}, build func() (*fx.App, error)) error {
	type start struct {
		app *fx.App
		err error
	}

	started := make(chan start, 1)

	go func() {
		a, err := build()
		if err == nil {
			err = run(a)
		}

		started <- start{a, err}
	}()

	var s start

	select {
	case s = <-started:
	case <-stopping:
		select {
		case s = <-started:
		case <-time.After(startMost):
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

// run starts an application.
func run(a *fx.App) error {
	c, stop := context.WithTimeout(context.Background(), a.StartTimeout())
	defer stop()

	return a.Start(c)
}

// buildError returns why an application can't be put together: what the operator can
// mend, without the parts that needed it.
func buildError(a *fx.App) error {
	return dig.RootCause(a.Err())
}
