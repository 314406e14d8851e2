package binder_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"github.com/tinylib/msgp/msgp"

	"github.com/auburntray/auburntray/internal/binder"
	"github.com/auburntray/auburntray/internal/discoverer"
	"github.com/auburntray/auburntray/internal/gossiper"
	"github.com/auburntray/auburntray/internal/meter"
	"github.com/auburntray/auburntray/internal/pinner"
	"github.com/auburntray/auburntray/internal/wire"
)

const (
	centreCount = 4
	// delay is the time of a message between two instances.
	delay = time.Millisecond
	// deathTime is how long after its end an instance is found to be dead by the others.
	deathTime = 5 * time.Second
	// endTime is longer than a process that has ended still waits for requests.
	endTime = 5 * time.Second
)

var errRefused = errors.New("connection refused")

// fleet connects instances without a network.
type fleet struct {
	// mu protects members, instances and stopped against processes that run while others start.
	mu        sync.Mutex
	members   []gossiper.Member
	instances []*binder.Binder
	// fresh reports, by instance, whether its list of targets is up to date.
	fresh []bool
	// cut cuts the data centres off from each other, and stopped are instances that do not reply.
	cut     bool
	stopped map[int]bool
	// stoppedAt is when instances were stopped; they count as live for deathTime.
	stoppedAt map[int]time.Time
	// refusing has connections to stopped instances refused.
	refusing bool
	// messages and bytes are those of all instances.
	messages, bytes atomic.Int64
	log             *log
	// logs are those of instances that do not reach the common one as the others do.
	logs     map[int]binder.Log
	context  context.Context //nolint:containedctx // That of the test.
	settings binder.Settings
	// ends end the processes.
	ends []context.CancelFunc
}

func newFleet(t *testing.T, number int) *fleet {
	t.Helper()

	f := &fleet{stopped: make(map[int]bool), stoppedAt: make(map[int]time.Time), log: newLog(), context: t.Context()}
	for c := range centreCount {
		f.settings.Centres = append(f.settings.Centres, fmt.Sprint(c))
	}

	t.Cleanup(func() {
		f.end()
		time.Sleep(endTime)
	})

	for n := range number {
		f.members = append(f.members, gossiper.Member{
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n / 256), byte(n)}), 80), DataCentre: fmt.Sprint(n % centreCount),
		})
		f.instances = append(f.instances, nil)
		f.fresh = append(f.fresh, true)
		f.ends = append(f.ends, func() {})
		f.start(n)
	}

	return f
}

// start starts an instance, again if it was running. Its process then has another ID and knows nothing.
func (f *fleet) start(n int) {
	f.ends[n]()

	c, end := context.WithCancel(context.Background())
	o := f.settings
	o.Fresh = func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()

		return f.fresh[n]
	}

	f.ends[n] = end

	var l binder.Log = f.log
	if x, ok := f.logs[n]; ok {
		l = x
	}

	b := binder.New(view{f, n}, view{f, n}, l, meter.New(), o)

	f.mu.Lock()
	// Earlier processes go on with the list that they have.
	f.members = slices.Clone(f.members)
	f.members[n].ID = rand.Uint64()
	f.instances[n] = b
	f.stopped[n] = false
	delete(f.stoppedAt, n)
	f.mu.Unlock()

	go b.Run(c)
}

// stop ends the process of an instance.
func (f *fleet) stop(n int) {
	f.ends[n]()

	f.mu.Lock()
	defer f.mu.Unlock()

	f.stopped[n] = true
	f.stoppedAt[n] = time.Now()
}

// change changes the fleet while its processes run.
func (f *fleet) change(c func()) {
	f.mu.Lock()
	defer f.mu.Unlock()

	c()
}

func (f *fleet) instance(n int) *binder.Binder {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.instances[n]
}

// setWrites sets how many writes a second the log accepts, and starts all instances again with that.
func (f *fleet) setWrites(n float64) {
	f.settings.WritesPerSecond = n
	for i := range f.instances {
		f.start(i)
	}
}

// end ends all processes.
func (f *fleet) end() {
	for _, e := range f.ends {
		e()
	}
}

// observe has all instances observe targets of the given versions.
func (f *fleet) observe(versions ...string) {
	for _, b := range f.instances {
		b.Observe(registry(versions...))
	}
}

func registry(versions ...string) *discoverer.Registry {
	d := discoverer.New(discoverer.DefaultSettings())
	for i, v := range versions {
		d.Set(discoverer.Target{ID: fmt.Sprint(i), Group: "g", Version: v})
	}

	return d.Registry()
}

// view is the fleet as seen by one instance.
type view struct {
	*fleet

	number int
}

func (v view) Live() []gossiper.Member {
	v.mu.Lock()
	defer v.mu.Unlock()

	o := v.members

	for n, at := range v.stoppedAt {
		if time.Since(at) >= deathTime {
			o = slices.DeleteFunc(slices.Clone(o), func(m gossiper.Member) bool { return m.Address == v.members[n].Address })
		}
	}

	return o
}

func (v view) Self() gossiper.Member {
	v.mu.Lock()
	defer v.mu.Unlock()

	return v.members[v.number]
}

// receiver returns the instance at an address, and false if this one does not reach it. It reports whether connections are refused.
func (v view) receiver(a netip.AddrPort) (n int, ok, refused bool) {
	b := a.Addr().As4()
	n = int(b[2])*256 + int(b[3])

	v.mu.Lock()
	defer v.mu.Unlock()

	ok = !v.stopped[n] && (!v.cut || v.members[n].DataCentre == v.members[v.number].DataCentre)

	return n, ok, !ok && v.refusing
}

func (v view) deliver(c context.Context, a netip.AddrPort, m msgp.Marshaler) (int, []byte, error) {
	b, err := m.MarshalMsg(nil)
	if err != nil {
		return 0, nil, err
	}

	v.messages.Add(1)
	v.bytes.Add(int64(len(b)))

	n, ok, refused := v.receiver(a)
	if refused {
		return 0, nil, errRefused
	}

	if !ok {
		<-c.Done()

		return 0, nil, c.Err()
	}

	time.Sleep(delay)

	return n, b, nil
}

func (v view) Send(c context.Context, a netip.AddrPort, k wire.Kind, m msgp.Marshaler) error {
	n, b, err := v.deliver(c, a, m)
	if err != nil {
		return err
	}

	h := v.instance(n).HandleVersions
	if k == wire.KindStreamsBegun {
		h = v.instance(n).HandleBegun
	}

	_, err = h(c, v.Self().ID, b)

	return err
}

func (v view) Call(c context.Context, a netip.AddrPort, k wire.Kind, q msgp.Marshaler, r msgp.Unmarshaler) error {
	n, b, err := v.deliver(c, a, q)
	if err != nil {
		return err
	}

	h := v.instance(n).HandleRequest
	if k == wire.KindVersion {
		h = v.instance(n).HandleEarlierRequest
	}

	o, err := h(c, v.Self().ID, b)
	if err != nil {
		return err
	}

	b, err = o.MarshalMsg(nil)
	if err != nil {
		return err
	}

	v.bytes.Add(int64(len(b)))

	if _, err := r.UnmarshalMsg(b); err != nil {
		return errors.Wrap(err, "reply")
	}

	return nil
}

// Guards against resumed streams that go on at another version or are refused, after a part of the instances was killed with
// the streams that they had begun, in a fleet in touch and in one whose data centres are cut off from each other.
func TestReplayOfStreamsOfKilledInstances(t *testing.T) {
	const (
		streams = 2000
		// minFound is the least part of the streams that must go on. Callers are not owed more than half.
		minFound = 0.5
	)

	logrus.SetLevel(logrus.FatalLevel)

	for name, x := range map[string]struct {
		killed   float64
		cut      bool
		minFound float64
	}{
		"one instance":              {0, false, 0.99},
		"half of them":              {0.5, false, 0.9},
		"four of five":              {0.8, false, minFound},
		"one instance beside a cut": {0, true, 0},
		"half of them beside a cut": {0.5, true, 0},
	} {
		for _, size := range []int{6, 80, 380} {
			t.Run(fmt.Sprintf("%s of %d", name, size), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					r := rand.New(rand.NewPCG(1, uint64(size)))
					f := newFleet(t, size)
					f.observe("v1", "v2")

					type stream struct {
						id      pinner.Stream
						origin  int
						version discoverer.Version
					}

					var l []stream

					for i := range streams {
						s := stream{pinner.Stream(i + 1), r.IntN(size), discoverer.VersionOf([]string{"v1", "v2"}[r.IntN(2)])}
						l = append(l, s)
						f.instances[s.origin].Bind("g", pinner.Note{Stream: s.id, Version: s.version, Attempt: 1})
					}

					time.Sleep(time.Second)
					synctest.Wait()

					perStream := float64(f.bytes.Load()) / streams
					killed := make(map[int]bool)

					for _, n := range r.Perm(size)[:max(int(x.killed*float64(size)), 1)] {
						killed[n] = true
						f.start(n)
						f.instances[n].Observe(registry("v1", "v2"))
					}

					f.change(func() { f.cut = x.cut })
					resumed, found, wrong := 0, 0, 0

					for _, s := range l {
						n := r.IntN(size)
						if !killed[s.origin] || killed[n] && x.killed < 0.8 {
							continue
						}

						resumed++

						if v, ok := f.instances[n].Find(t.Context(), "g", s.id); ok {
							found++

							if v != s.version {
								wrong++
							}
						}
					}

					t.Logf("%d of %d found, %d wrong; %.0f bytes a stream", found, resumed, wrong, perStream)
					is.Equal(wrong, 0)
					is.True(resumed > 0)
					is.True(float64(found) >= x.minFound*float64(resumed))
				})
			})
		}
	}
}

// Guards against streams that began before the second version appeared and that nobody knows then.
func TestStreamsFromBeforeSecondVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 6)
		f.observe("v1")
		time.Sleep(time.Minute)
		f.messages.Store(0)

		f.instances[0].Bind("g", pinner.Note{Stream: 1, Version: discoverer.VersionOf("v1"), Attempt: 1})
		time.Sleep(time.Second)
		is.Equal(f.messages.Load(), f.told(0, 1)) // The recorders alone need to know.

		_, writes := f.log.counts()
		is.Equal(writes, 1) // That of the version in use.

		f.observe("v1", "v2")
		time.Sleep(time.Second)
		synctest.Wait()
		f.start(0)

		v, ok := f.instances[3].Find(t.Context(), "g", 1)
		is.True(ok)
		is.Equal(v, discoverer.VersionOf("v1"))

		// A caller that does not state which stream it resumes can't be helped.
		_, ok = f.instances[3].Find(t.Context(), "g", 0)
		is.True(!ok)
	})
}

// Guards against resumed streams that wait for instances that do not reply.
func TestSilentHomesDelayNobodyForLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 6)
		f.observe("v1", "v2")

		for n := range 5 {
			f.change(func() { f.stopped[n] = true })
		}

		b := time.Now()
		_, ok := f.instances[5].Find(t.Context(), "g", 1)
		is.True(!ok)
		is.True(time.Since(b) <= 40*time.Millisecond)
	})
}

// Guards against a stream that goes on at the only version that an instance knows, while another one appeared behind a
// cut or served before all started, and against messages and refusals where one version has served for long.
func TestOneVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 6)
		f.observe("v1")

		_, ok := f.instances[0].Find(t.Context(), "g", 1)
		is.True(!ok)                   // Nothing is recorded: it may have begun at any version.
		is.True(f.messages.Load() > 0) // It has not observed the targets for long, and asks.

		reads, writes := f.log.counts()
		is.True(reads <= 2) // Two recorders read what was before.
		is.Equal(writes, 0)

		f.instances[1].Bind("g", pinner.Note{Stream: 2, Version: discoverer.VersionOf("v1"), Attempt: 1})
		time.Sleep(firstEvent)

		v, ok := f.instances[0].Find(t.Context(), "g", 2)
		is.True(ok)
		is.Equal(v, discoverer.VersionOf("v1"))

		time.Sleep(time.Minute)

		v, ok = f.instances[0].Find(t.Context(), "g", 1)
		is.True(ok)
		is.Equal(v, discoverer.VersionOf("v1"))

		f.change(func() { f.cut, f.fresh[0] = true, false })

		_, ok = f.instances[0].Find(t.Context(), "g", 1)
		is.True(!ok)

		synctest.Wait()

		f.change(func() { f.cut, f.fresh[0] = false, true })

		reads, writes = f.log.counts()
		f.messages.Store(0)

		time.Sleep(time.Minute)

		_, ok = f.instances[0].Find(t.Context(), "g", 1)
		is.True(ok)
		is.Equal(f.messages.Load(), int64(0))

		r, w := f.log.counts()
		is.Equal(r, reads)
		is.Equal(w, writes)
	})
}

// Guards against callers that multiply their calls by resuming streams that nobody knows.
func TestRequestsAtATimeAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 6)
		f.observe("v1", "v2")

		for i := range 1000 {
			go f.instances[0].Find(t.Context(), "g", pinner.Stream(i+1))
		}

		time.Sleep(time.Second)
		is.True(f.messages.Load() <= 64*5)
	})
}

func TestInvalidMessages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newFleet(t, 1).instances[0]

		for _, h := range []func(context.Context, uint64, []byte) (msgp.Marshaler, error){b.HandleVersions, b.HandleBegun, b.HandleRequest, b.HandleEarlierRequest} {
			_, err := h(t.Context(), 1, []byte{1})
			is.True(errors.Is(err, binder.ErrBinding))
		}
	})
}
