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

// recorder records the contents that were applied.
type recorder struct {
	mu      sync.Mutex
	applied []string
}

func (r *recorder) apply(b []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.applied = append(r.applied, string(b))

	if string(b) == "bad" {
		return errors.New("invalid settings")
	}

	return nil
}

func (r *recorder) contents() []string {
	r.mu.Lock()
	defer r.mu.Unlock()

	return append([]string(nil), r.applied...)
}

func (r *recorder) lastIs(s string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()

	return len(r.applied) > 0 && r.applied[len(r.applied)-1] == s
}

func start(t *testing.T) (string, *recorder) {
	t.Helper()

	p := filepath.Join(t.TempDir(), "settings")
	write(t, p, "one")

	a := &recorder{}

	x, stop := signaler.New(func(os.Signal, signaler.Effect) {})

	r := reloader.New(p, []byte("one"), x.Reloads(), a.apply)

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

// Guards against an instance that exits on SIGHUP, as a process does by default, and so breaks all
// connections. Invalid settings must not end the process either.
func TestHangUpReloads(t *testing.T) {
	p, a := start(t)
	self, err := os.FindProcess(os.Getpid())
	is.New(t).NoErr(err)

	for _, s := range []string{"two", "bad", "three"} {
		write(t, p, s)
		is.New(t).NoErr(self.Signal(syscall.SIGHUP))
		waiter.Until(t, "the content", func() bool { return a.lastIs(s) })
	}
}

// The settings change without a signal.
func TestChangeWithoutSignal(t *testing.T) {
	p, a := start(t)

	write(t, p, "two")
	waiter.Until(t, "the content", func() bool { return a.lastIs("two") })
}

// A signal without a change applies nothing.
func TestSignalWithoutChange(t *testing.T) {
	_, a := start(t)
	self, err := os.FindProcess(os.Getpid())
	is.New(t).NoErr(err)
	is.New(t).NoErr(self.Signal(syscall.SIGHUP))

	time.Sleep(50 * time.Millisecond)
	is.New(t).True(!a.lastIs("one"))
}

// The file is missing when a signal and the timer check it. The settings in force remain, and the file is
// applied once it exists again.
func TestMissingFile(t *testing.T) {
	p, a := start(t)
	i := is.New(t)
	i.NoErr(os.Remove(p))

	self, err := os.FindProcess(os.Getpid())
	i.NoErr(err)
	i.NoErr(self.Signal(syscall.SIGHUP))
	time.Sleep(50 * time.Millisecond)
	i.Equal(len(a.contents()), 0)

	write(t, p, "two")
	waiter.Until(t, "the content", func() bool { return a.lastIs("two") })
	i.Equal(a.contents(), []string{"two"})
}

// Guards against a change during the start that is never applied: the process had read the old settings and
// then took the new file for the content in force, so it kept the address of a store that was gone.
func TestChangeDuringStart(t *testing.T) {
	p := filepath.Join(t.TempDir(), "settings")
	write(t, p, "new")

	a := &recorder{}
	r := reloader.New(p, []byte("old"), nil, a.apply)

	c, end := context.WithCancel(t.Context())
	defer end()

	go r.Run(c)

	waiter.Until(t, "the content", func() bool { return a.lastIs("new") })
}
