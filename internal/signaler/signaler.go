// Package signaler owns the signals of a long-running process, from its first moment to
// its last.
package signaler

import (
	"os"
	"os/signal"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
)

// pending is how many signals without a use may wait to be told of.
const pending = 8

// inbox is where signals wait until somebody looks at them.
type inbox struct {
	// stops holds the first signal that asks for a stop, hangs one that asks for a look
	// at the settings. More of the same say nothing new.
	stops, hangs chan os.Signal
	// others are those without a use.
	others chan os.Signal
}

// process is the inbox of this process.
//
// A signal that no code takes ends a process with every call that it serves, without a
// line of log. Parts and settings take milliseconds to put together, in which the
// platform may already send SIGHUP; so signals are taken as soon as the language lets
// code run, before any function does, and are never given back while the process
// serves: it may also be told of a change while it writes its last lines.
var process = take() //nolint:gochecknoglobals // Signals are the process's, and this runs before all functions.

var (
	// useless are the signals that a platform or an operator may send and that have no
	// use here. SIGABRT is left for whoever wants a process's goroutines at its end.
	useless = []os.Signal{syscall.SIGUSR1, syscall.SIGUSR2, syscall.SIGALRM, syscall.SIGQUIT} //nolint:gochecknoglobals // A constant table.
	// dropped are those that the system sends by itself: that a pipe has no reader, where
	// the write fails and that is all, and that a terminal wants the process to stand
	// still, with its callers waiting.
	dropped = []os.Signal{syscall.SIGTSTP, syscall.SIGTTIN, syscall.SIGTTOU, syscall.SIGPIPE} //nolint:gochecknoglobals // A constant table.
)

func take() *inbox {
	i := &inbox{
		stops: make(chan os.Signal, 1), hangs: make(chan os.Signal, 1), others: make(chan os.Signal, pending),
	}

	signal.Notify(i.stops, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(i.hangs, syscall.SIGHUP)
	signal.Notify(i.others, useless...)
	signal.Ignore(dropped...)

	return i
}

// hungUp is the exit code of a command that ends with its terminal, as shells have it.
const hungUp = 128 + int(syscall.SIGHUP)

// Release gives the signals back to the system, for a command that runs for a moment
// and is to end with the terminal or the pipe that it writes to. A signal that had come
// before does now what it does by default.
func Release() {
	// A signal that is dropped goes back to its default only by way of being taken.
	signal.Notify(make(chan os.Signal, 1), dropped...)
	signal.Reset(slices.Concat([]os.Signal{syscall.SIGTERM, syscall.SIGINT}, useless, dropped)...)

	select {
	case s := <-process.stops:
		if x, ok := s.(syscall.Signal); ok {
			_ = syscall.Kill(os.Getpid(), x) // This process is there.
		}
	default:
	}

	// Given back, it would be dropped, as before the runtime took it.
	go func() {
		<-process.hangs
		os.Exit(hungUp)
	}()
}

// Use is what a signal was used for.
type Use string

// The uses.
const (
	// Stop begins a planned stop.
	Stop Use = "stop"
	// Reload looks at the settings.
	Reload Use = "reload"
	// None changes nothing: the signal has no use, or a stop was under way already.
	None Use = "none"
)

// Signaler hands signals on to the parts of a process. It is safe for concurrent use.
type Signaler struct {
	tell  func(s os.Signal, u Use)
	stop  chan struct{}
	hangs chan struct{}
	total atomic.Int64
}

// New returns a Signaler that tells of each signal and its use, and its clean-up
// function, after which signals are still taken and do nothing. One process has one at
// a time.
func New(tell func(s os.Signal, u Use)) (*Signaler, func()) {
	s := &Signaler{tell: tell, stop: make(chan struct{}), hangs: make(chan struct{}, 1)}
	end := make(chan struct{})

	var g sync.WaitGroup

	g.Go(func() { s.run(process, end) })

	return s, func() {
		close(end)
		g.Wait()
	}
}

// Stopping returns a channel that is closed when the process is to stop as planned.
func (s *Signaler) Stopping() <-chan struct{} { return s.stop }

// HangUps returns a channel that has an element when the settings may have changed.
func (s *Signaler) HangUps() <-chan struct{} { return s.hangs }

// Total returns how many signals were taken.
func (s *Signaler) Total() int64 { return s.total.Load() }

func (s *Signaler) run(i *inbox, end <-chan struct{}) {
	stopping := false

	for {
		u := None

		var x os.Signal

		select {
		case x = <-i.stops:
			if !stopping {
				stopping, u = true, Stop
				close(s.stop)
			}
		case x = <-i.hangs:
			u = Reload

			select {
			case s.hangs <- struct{}{}:
			default: // A look is due already.
			}
		case x = <-i.others:
		case <-end:
			return
		}

		s.total.Add(1)
		s.tell(x, u)
	}
}
