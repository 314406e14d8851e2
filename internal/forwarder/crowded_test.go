package forwarder_test

import (
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/aggregator"
	"github.com/auburntray/auburntray/internal/discoverer"
)

// Guards against streams that callers resume after a loss of all instances and that all wait at the last target of their version
// until their callers give up: those that the target can't take are refused at once, and told when to come back.
func TestResumedStreamsDoNotCrowdTheirVersion(t *testing.T) {
	const herd = 40

	for name, x := range map[string]struct {
		// headers are those of each call besides its ID.
		headers []string
		// most is the largest number of calls that may reach the target.
		most int
	}{
		"with a prompt":    {[]string{"Prompt", "system,chat"}, 5},
		"without a prompt": {nil, 8},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			end := make(chan struct{})

			old := &target{answer: func(n net.Conn, s received) {
				beginStream(n, s)
				chunk(n, event(3))
				<-end
				finishStream(n)
			}}
			l := []*target{old}

			for range 5 {
				l = append(l, &target{answer: answerEvents(5)})
			}

			g := newGatewayWithDialer(t, &unboundedDialer{}, l...)
			g.setVersions("v1", "v2", "v2", "v2", "v2", "v2")
			g.forwarder.SetBinder(&streamBinder{version: discoverer.VersionOf("v1")})

			resume := func(id int) answer {
				return g.call(t, http.MethodPost, "/stream/", "x", append([]string{"Id", "call-" + strconv.Itoa(id), "Last", "2", "Begun-By", "call-0"}, x.headers...)...)
			}

			var (
				w       sync.WaitGroup
				mu      sync.Mutex
				refused int
			)

			begin := time.Now()

			for n := range herd {
				w.Go(func() {
					o := resume(n + 1)
					if o.status == http.StatusOK {
						return
					}

					mu.Lock()
					defer mu.Unlock()

					if s, err := strconv.ParseFloat(o.header.Get("Retry-After"), 64); o.status == http.StatusServiceUnavailable && err == nil && s > 0 && time.Since(begin) < 500*time.Millisecond {
						refused++
					}
				})
			}

			time.Sleep(600 * time.Millisecond)

			mu.Lock()
			is.True(old.count() > 0)
			is.True(old.count() <= x.most)
			is.Equal(refused, herd-old.count())
			mu.Unlock()

			close(end)
			w.Wait()

			for _, k := range l[1:] {
				is.Equal(k.count(), 0)
			}

			is.Equal(resume(herd+1).status, http.StatusOK)
		})
	}
}

// Guards against a stream that is refused because all homes are full when it is begun again: it prefers the version at which it
// began in vain, but may begin at any, so it is sent like other calls with a prompt.
func TestStreamBegunAgainIsNotConfinedToItsVersion(t *testing.T) {
	is := is.New(t)

	var (
		l     []*target
		calls atomic.Int64
	)

	full := make(map[string]aggregator.Verdict)

	for n := range 6 {
		l = append(l, &target{answer: func(n net.Conn, s received) {
			if calls.Add(1) == 1 {
				reset(n)
			} else {
				answerEvents(5)(n, s)
			}
		}})
		full["t"+strconv.Itoa(n)] = aggregator.Verdict{Outcome: aggregator.Full, Calls: 8}
	}

	g := newGatewayWithDialer(t, &unboundedDialer{}, l...)
	g.setVersions("v1", "v1", "v1", "v1", "v1", "v2")
	g.forwarder.SetBinder(&streamBinder{})
	g.forwarder.SetReserver(&fakeReserver{verdicts: full, reports: make(map[string]int)})

	for n := range 5 {
		calls.Store(0)
		is.Equal(g.call(t, http.MethodPost, "/resumable/", "x", "Id", "call-"+strconv.Itoa(n), "Prompt", "system,chat"+strconv.Itoa(n)).status, http.StatusOK)
	}
}

// Guards against a call that finds no place at the targets of its version and is held until its deadline in place of being refused at once.
func TestCallWithoutPlaceIsNotHeldUntilItsDeadline(t *testing.T) {
	const herd = 40

	is := is.New(t)
	end := make(chan struct{})
	old := &target{answer: func(n net.Conn, s received) {
		<-end
		beginStream(n, s)
		finishStream(n)
	}}
	g := newGatewayWithDialer(t, &unboundedDialer{}, old, &target{answer: answerEvents(5)}, &target{answer: answerEvents(5)})
	g.setVersions("v1", "v2", "v2")
	g.forwarder.SetBinder(&streamBinder{version: discoverer.VersionOf("v1")})

	var (
		w    sync.WaitGroup
		mu   sync.Mutex
		late int
	)

	for n := range herd {
		w.Go(func() {
			b := time.Now()
			o := g.call(t, http.MethodPost, "/resumable/", "x", "Id", "call-"+strconv.Itoa(n), "Last", "2", "Begun-By", "call-0", "Prompt", "system,chat", "Patience-Ms", "280")

			mu.Lock()
			defer mu.Unlock()

			if o.status != http.StatusOK && time.Since(b) >= 250*time.Millisecond {
				late++
			}
		})
	}

	time.Sleep(400 * time.Millisecond)
	close(end)
	w.Wait()

	t.Logf("%d calls reached the target, %d were answered as their deadline came", old.count(), late)
	is.True(old.count() < herd)
	is.True(late <= old.count())
}
