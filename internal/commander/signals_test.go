package commander

import (
	"syscall"
	"testing"

	"github.com/matryer/is"
)

// Callers of three instances lost their streams at one moment, in the middle of the
// answer: "the connection is closed in the middle of the answer (200)". In the same
// millisecond the platform had told each instance by SIGHUP that its settings had
// changed, and each "ended by itself: it ended with code 129". No code took the signal,
// so the system's own handling of it ended the process, without a line of log.
func TestOpenCallsOutliveAHangUp(t *testing.T) {
	i := is.New(t)
	s := surround(t)
	p := prepare(t, s)
	p.start()
	comes(t, "readiness", p.isReady)

	a, b := p.call("/stream/", "c-1"), p.call("/once/", "c-2")
	comes(t, "the work on both", func() bool { return s.runs() == 2 })
	p.signal(syscall.SIGHUP)

	i.Equal(<-a, result{status: 200, whole: true})
	i.Equal(<-b, result{status: 200, whole: true})

	p.signal(syscall.SIGTERM)
	i.Equal(p.end(), "exit status 0")
}
