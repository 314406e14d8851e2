// Package signaler handles the signals of a long-running process, from its start to its
// exit.
package signaler

import (
	"os"
	"os/signal"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
)

// maxUnhandled is the number of unhandled signals that may wait to be reported.
const maxUnhandled = 8

// inbox buffers signals until a Signaler reads them.
type inbox struct {
	// stops buffers the first signal that requests a stop, hangUps one that requests a
	// reload of the settings. Further ones of the same kind add no information.
	stops, hangUps chan os.Signal
	// unhandled buffers signals that have no effect.
	unhandled chan os.Signal
}

// process is the inbox of this process.
//
// A signal that no code handles ends the process with all calls that it serves, without a
// log line. Reading the settings and building the components takes milliseconds, in which
// the platform may already send SIGHUP. Signals are therefore captured when package
// variables are set up, before any other code runs, and not released while the
// process serves: a SIGHUP may also arrive during shutdown.
var process = captureSignals() //nolint:gochecknoglobals // Signals are per process, and this runs before all functions.

var (
	// unhandled are the signals that a platform or an operator may send and that have no
	// effect here. SIGABRT keeps its default, which prints all goroutines and exits.
	unhandled = []os.Signal{syscall.SIGUSR1, syscall.SIGUSR2, syscall.SIGALRM, syscall.SIGQUIT} //nolint:gochecknoglobals // A constant table.
	// discarded are the signals that the system sends by itself: SIGPIPE for a pipe
	// without a reader, where the failed write is enough, and those with which a terminal
	// would suspend the process while callers wait.
	discarded = []os.Signal{syscall.SIGTSTP, syscall.SIGTTIN, syscall.SIGTTOU, syscall.SIGPIPE} //nolint:gochecknoglobals // A constant table.
)

func captureSignals() *inbox {
	i := &inbox{
		stops: make(chan os.Signal, 1), hangUps: make(chan os.Signal, 1), unhandled: make(chan os.Signal, maxUnhandled),
	}

	signal.Notify(i.stops, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(i.hangUps, syscall.SIGHUP)
	signal.Notify(i.unhandled, unhandled...)
	signal.Ignore(discarded...)

	return i
}

// exitHangUp is the exit code of a command that SIGHUP ends, by the convention of shells.
const exitHangUp = 128 + int(syscall.SIGHUP)

// Release restores the default effects of the signals, for a short-lived command that
// should end with its terminal or with the pipe that it writes to. A signal that arrived
// before takes its default effect now.
func Release() {
	// Reset restores the default of an ignored signal only after a call to Notify for it.
	signal.Notify(make(chan os.Signal, 1), discarded...)
	signal.Reset(slices.Concat([]os.Signal{syscall.SIGTERM, syscall.SIGINT}, unhandled, discarded)...)

	select {
	case s := <-process.stops:
		if x, ok := s.(syscall.Signal); ok {
			_ = syscall.Kill(os.Getpid(), x) // This process exists.
		}
	default:
	}

	// SIGHUP is not reset: it would be ignored again, as sighup.c set it before the
	// runtime started.
	go func() {
		<-process.hangUps
		os.Exit(exitHangUp)
	}()
}

// Effect is what a signal causes.
type Effect string

// Effects of signals.
const (
	// Stop starts a planned stop.
	Stop Effect = "stop"
	// Reload requests that the settings be read again.
	Reload Effect = "reload"
	// None means no effect: the signal is unhandled, or a stop is in progress already.
	None Effect = "none"
)

// Signaler forwards signals to the components of a process. It is safe for concurrent
// use.
type Signaler struct {
	notify  func(s os.Signal, u Effect)
	stop    chan struct{}
	hangUps chan struct{}
	total   atomic.Int64
}

// New returns a Signaler that reports each signal and its effect to notify, and its
// clean-up function. After clean-up, signals are still captured but have no effect. A
// process must not have more than one Signaler at a time.
func New(notify func(s os.Signal, u Effect)) (*Signaler, func()) {
	s := &Signaler{notify: notify, stop: make(chan struct{}), hangUps: make(chan struct{}, 1)}
	end := make(chan struct{})

	var g sync.WaitGroup

	g.Go(func() { s.run(process, end) })

	return s, func() {
		close(end)
		g.Wait()
	}
}

// Stopping returns a channel that is closed when a signal requests a planned stop.
func (s *Signaler) Stopping() <-chan struct{} { return s.stop }

// Reloads returns a channel that receives an element when a signal requests a reload of
// the settings. Requests that are not read yet are merged into one.
func (s *Signaler) Reloads() <-chan struct{} { return s.hangUps }

// Total returns the number of signals received since New.
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
		case x = <-i.hangUps:
			u = Reload

			select {
			case s.hangUps <- struct{}{}:
			default: // A reload is pending already.
			}
		case x = <-i.unhandled:
		case <-end:
			return
		}

		s.total.Add(1)
		s.notify(x, u)
	}
}
