package reloader_test

import (
	"context"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/reloader"
	"github.com/auburntray/auburntray/internal/signaler"
	"github.com/auburntray/auburntray/internal/standin/waiter"
)

// applied notes what was applied.
type applied struct {
	mu   sync.Mutex
	list []string
}

func (a *applied) apply(b []byte) error {
	a.mu.Lock()
	defer a.mu.Unlock()

	a.list = append(a.list, string(b))

	if string(b) == "bad" {
		return errors.New("bad settings")
	}

	return nil
}

func (a *applied) has(s string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()

	return len(a.list) > 0 && a.list[len(a.list)-1] == s
}

func start(t *testing.T) (string, *applied) {
	t.Helper()

	p := filepath.Join(t.TempDir(), "settings")
	write(t, p, "one")

	a := &applied{}

	x, stop := signaler.New(func(os.Signal, signaler.Use) {})

	r, err := reloader.New(p, x.HangUps(), a.apply)
	if err != nil {
		t.Fatal(err)
	}

	c, end := context.WithCancel(t.Context())

	var g sync.WaitGroup

	g.Go(func() { r.Run(c) })
	t.Cleanup(func() {
		end()
		g.Wait()
		stop()
	})

	return p, a
}

func write(t *testing.T, path, s string) {
	t.Helper()

	if err := os.WriteFile(path, []byte(s), 0o600); err != nil {
		t.Fatal(err)
	}
}

// The platform changes the settings of all instances and sends each SIGHUP. Every
// caller's connection broke: nobody had asked for the signal, and it ends a process
// that has not. Settings that can't be used must not end it either.
func TestHangUpReloads(t *testing.T) {
	p, a := start(t)
	self, err := os.FindProcess(os.Getpid())
	is.New(t).NoErr(err)

	for _, s := range []string{"two", "bad", "three"} {
		write(t, p, s)
		is.New(t).NoErr(self.Signal(syscall.SIGHUP))
		waiter.Until(t, "the content", func() bool { return a.has(s) })
	}
}

// Settings are changed and no signal comes.
func TestChangeWithoutASignal(t *testing.T) {
	p, a := start(t)

	write(t, p, "two")
	waiter.Until(t, "the content", func() bool { return a.has("two") })
}

// A signal without a change applies nothing.
func TestNothingChanged(t *testing.T) {
	_, a := start(t)
	self, err := os.FindProcess(os.Getpid())
	is.New(t).NoErr(err)
	is.New(t).NoErr(self.Signal(syscall.SIGHUP))

	time.Sleep(50 * time.Millisecond)
	is.New(t).True(!a.has("one"))
}

func TestFileThatIsNotThere(t *testing.T) {
	_, err := reloader.New(filepath.Join(t.TempDir(), "none"), nil, nil)
	is.New(t).True(errors.Is(err, reloader.ErrRead))
}
