package signaler_test

import (
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/signaler"
	"github.com/auburntray/auburntray/internal/standin/waiter"
)

// signalLog records the reported signals and their effects.
type signalLog struct {
	mu      sync.Mutex
	entries []string
}

func (l *signalLog) record(s os.Signal, u signaler.Effect) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.entries = append(l.entries, s.String()+" "+string(u))
}

func (l *signalLog) all() []string {
	l.mu.Lock()
	defer l.mu.Unlock()

	return append([]string(nil), l.entries...)
}

// send sends signals to this process, and waits until each is reported before it sends the next.
func send(t *testing.T, l *signalLog, s ...syscall.Signal) {
	t.Helper()

	for _, x := range s {
		n := len(l.all())
		if err := syscall.Kill(os.Getpid(), x); err != nil {
			t.Fatal(err)
		}

		waiter.Until(t, "the signal", func() bool { return len(l.all()) > n })
	}
}

// The first SIGTERM or SIGINT starts a stop, SIGHUP requests a reload also during a stop, and no
// other signal has an effect.
func TestEffects(t *testing.T) {
	tests := map[string]struct {
		send    []syscall.Signal
		want    []string
		stopped bool
		reload  bool
	}{
		"SIGHUP":               {send: []syscall.Signal{syscall.SIGHUP}, want: []string{"hangup reload"}, reload: true},
		"SIGHUP twice":         {send: []syscall.Signal{syscall.SIGHUP, syscall.SIGHUP}, want: []string{"hangup reload", "hangup reload"}, reload: true},
		"SIGTERM":              {send: []syscall.Signal{syscall.SIGTERM}, want: []string{"terminated stop"}, stopped: true},
		"SIGINT":               {send: []syscall.Signal{syscall.SIGINT}, want: []string{"interrupt stop"}, stopped: true},
		"SIGINT during a stop": {send: []syscall.Signal{syscall.SIGTERM, syscall.SIGINT}, want: []string{"terminated stop", "interrupt none"}, stopped: true},
		"SIGHUP during a stop": {send: []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP}, want: []string{"terminated stop", "hangup reload"}, stopped: true, reload: true},
		"unhandled signals":    {send: []syscall.Signal{syscall.SIGUSR1, syscall.SIGUSR2, syscall.SIGALRM, syscall.SIGQUIT}, want: []string{"user defined signal 1 none", "user defined signal 2 none", "alarm clock none", "quit none"}},
	}
	for name, x := range tests {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)

			var l signalLog

			s, end := signaler.New(l.record)
			defer end()

			send(t, &l, x.send...)
			i.Equal(l.all(), x.want)
			i.Equal(s.Total(), int64(len(x.want)))
			i.Equal(isReady(s.Stopping()), x.stopped)
			i.Equal(isReady(s.Reloads()), x.reload)
		})
	}
}

// Guards against a signal that ends the process with the signal's exit code after its components have
// stopped, while it writes its last log lines.
func TestSignalsAfterCleanUp(t *testing.T) {
	var l signalLog

	_, end := signaler.New(l.record)
	end()

	for _, x := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGPIPE, syscall.SIGUSR1} {
		is.New(t).NoErr(syscall.Kill(os.Getpid(), x))
	}

	time.Sleep(50 * time.Millisecond)
	is.New(t).Equal(len(l.all()), 0)

	// Buffered signals are not lost: a new Signaler reports those that arrived before it.
	s, end := signaler.New(l.record)
	defer end()

	<-s.Stopping()
	<-s.Reloads()
}

func isReady(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
