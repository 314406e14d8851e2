package commander

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/gatekeeper"
	"github.com/auburntray/auburntray/internal/standin/porter"
	"github.com/auburntray/auburntray/internal/standin/waiter"
	"github.com/auburntray/auburntray/platform/standin"
)

// newStore starts a store that refuses all requests, and returns its address and a function that reports
// whether it has received one.
func newStore(t *testing.T) (address string, requested func() bool) {
	t.Helper()

	var n atomic.Int64

	x := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		n.Add(1)
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	t.Cleanup(x.Close)

	return strings.TrimPrefix(x.URL, "http://"), func() bool { return n.Load() > 0 }
}

// Guards against an outage when the platform removes an instance, writes the new seeds
// to the settings of the others and sends them SIGHUP: the signal terminated the processes,
// which broke all streams, and no calls were served until they had started again. They must
// continue, with the new settings in force.
func TestHangUpReloadsSettings(t *testing.T) {
	i := is.New(t)
	p := filepath.Join(t.TempDir(), "settings.toml")
	front, ready, control := porter.Free(t), porter.Free(t), porter.Free(t)
	first, requestedFirst := newStore(t)
	second, requestedSecond := newStore(t)

	write := func(store string) {
		i.NoErr(os.WriteFile(p, standin.Settings(front, ready, control, store), 0o600))
	}
	write(first)

	done := make(chan error, 1)

	go func() { done <- runPlatform(t.Context(), p, 0, options{}) }()

	waiter.Until(t, "a read of the first store", requestedFirst)

	self, err := os.FindProcess(os.Getpid())
	i.NoErr(err)
	write(second)
	i.NoErr(self.Signal(syscall.SIGHUP))
	waiter.Until(t, "a read of the second store", requestedSecond)

	// SIGTERM still stops the process as planned.
	i.NoErr(self.Signal(syscall.SIGTERM))
	i.NoErr(<-done)
}

func TestRestartSettings(t *testing.T) {
	a := gatekeeper.Settings{Name: "front-1", DataCentre: "a", Region: "r", Callers: netip.MustParseAddrPort("127.0.0.1:1")}

	tests := map[string]struct {
		change func(*gatekeeper.Settings)
		want   string
	}{
		"nothing":     {change: func(*gatekeeper.Settings) {}},
		"tunable":     {change: func(s *gatekeeper.Settings) { s.StopTimeout = time.Second }},
		"data centre": {change: func(s *gatekeeper.Settings) { s.DataCentre = "b" }, want: "dataCentre"},
		"two settings": {change: func(s *gatekeeper.Settings) {
			s.Name, s.Callers = "front-2", netip.MustParseAddrPort("127.0.0.1:2")
		}, want: "name,callers"},
	}
	for name, x := range tests {
		t.Run(name, func(t *testing.T) {
			b := a
			x.change(&b)
			is.New(t).Equal(strings.Join(restartSettings(a, b), ","), x.want)
		})
	}
}
