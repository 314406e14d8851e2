package repeater_test

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"github.com/tinylib/msgp/msgp"

	"github.com/auburntray/auburntray/internal/extender"
	"github.com/auburntray/auburntray/internal/gossiper"
	"github.com/auburntray/auburntray/internal/meter"
	"github.com/auburntray/auburntray/internal/repeater"
	"github.com/auburntray/auburntray/internal/watcher"
	"github.com/auburntray/auburntray/internal/wire"
)

var errAway = errors.New("away")

// platform is a stream that can turn single instances away or fall silent to them.
type platform struct {
	mu      sync.Mutex
	records []watcher.Record
	// changed is closed when a record is added.
	changed chan struct{}
	refused map[int]bool
	silent  map[int]bool
	reads   map[int]int
	// shown is how many records a whole list has; zero sets no bound.
	shown int
	// takes is how long a whole list takes to come over an instance's link.
	takes map[int]time.Duration
	links links
	// ahead is by how much the end that it names is too late.
	ahead int64
}

// showOnly makes whole lists those of an older state, with the given number of records, and
// sets by how much the end that they name is too late; zero ends it.
func (p *platform) showOnly(n int, ahead int64) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.shown, p.ahead = n, ahead
}

// put adds a record.
func (p *platform) put(key, value string) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.records = append(p.records, watcher.Record{Key: key, Value: []byte(value), Offset: int64(len(p.records))})

	close(p.changed)
	p.changed = make(chan struct{})
}

// view is the platform as one instance sees it.
type view struct {
	*platform

	instance int
}

func (v view) check(c context.Context) error {
	v.mu.Lock()
	v.reads[v.instance]++
	r, s := v.refused[v.instance], v.silent[v.instance]
	v.mu.Unlock()

	if s {
		<-c.Done()

		return c.Err()
	}

	if r {
		return errAway
	}

	return nil
}

func (v view) Newest(c context.Context) ([]watcher.Record, int64, error) {
	if err := v.check(c); err != nil {
		return nil, 0, err
	}

	v.mu.Lock()
	d := v.takes[v.instance]
	v.mu.Unlock()

	l := v.since(0)

	if err := pass(c, d); err != nil {
		return nil, 0, err
	}

	v.mu.Lock()
	defer v.mu.Unlock()

	if v.shown > 0 {
		l = l[:v.shown]
	}

	return l, int64(len(l)) + v.ahead, nil
}

func (v view) Follow(c context.Context, from int64, wait time.Duration) ([]watcher.Record, int64, error) {
	if err := v.check(c); err != nil {
		return nil, 0, err
	}

	b := time.Now()

	for {
		v.mu.Lock()
		x := v.changed
		v.mu.Unlock()

		if l := v.since(from); len(l) > 0 || time.Since(b) >= wait {
			n := 0
			for _, r := range l {
				n += len(r.Value)
			}

			return l, from + int64(len(l)), v.carry(c, v.instance, n)
		}

		select {
		case <-x:
		case <-time.After(wait - time.Since(b)):
		case <-c.Done():
			return nil, 0, c.Err()
		}
	}
}

func (p *platform) since(from int64) []watcher.Record {
	p.mu.Lock()
	defer p.mu.Unlock()

	return append([]watcher.Record(nil), p.records[min(int(from), len(p.records)):]...)
}

// fleet is a few instances of one data centre, and what joins them.
type fleet struct {
	platform  *platform
	instances []*instance
	members   []gossiper.Member
	// cut are instances that others can't call.
	cut map[int]bool
	// down are instances that refuse to be called.
	down  map[int]bool
	seeds []netip.AddrPort
	// perByte is how long a byte takes from an instance to others, and free when
	// each instance's link is free again.
	perByte time.Duration
	free    map[int]time.Time
	// wide are instances whose links carry twenty times as much.
	wide map[int]bool
	sent int
	mu   sync.Mutex
}

type instance struct {
	fleet     *fleet
	number    int
	centre    string
	repeater  *repeater.Repeater
	stream    *repeater.Stream
	sink      *sink
	suspected map[uint64]time.Time
}

func (i *instance) member() gossiper.Member {
	return gossiper.Member{
		ID: uint64(i.number+1)<<gossiper.LinkClassBits | uint64(i.link()), DataCentre: i.centre,
		Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(i.number+1)),
	}
}

// link returns the class of the instance's link.
func (i *instance) link() gossiper.LinkClass {
	if i.fleet.wide[i.number] {
		return 1
	}

	return 0
}

// per returns how long a byte takes from an instance.
func (f *fleet) per(n int) time.Duration {
	if f.wide[n] {
		return f.perByte / wideTimes
	}

	return f.perByte
}

func (i *instance) Self() gossiper.Member { return i.member() }

func (i *instance) Seeds() []netip.AddrPort { return i.fleet.seeds }

func (i *instance) Live() []gossiper.Member {
	i.fleet.mu.Lock()
	defer i.fleet.mu.Unlock()

	if len(i.suspected) == 0 {
		return i.fleet.members
	}

	var o []gossiper.Member

	for _, x := range i.fleet.instances {
		if time.Since(i.suspected[x.member().ID]) >= 3*time.Second {
			o = append(o, x.member())
		}
	}

	return o
}

// Home is the first live instance of the data centre.
func (i *instance) Home(_ uint64, centres []string) (gossiper.Member, bool) {
	for _, m := range i.Live() {
		if m.DataCentre == centres[0] {
			return m, true
		}
	}

	return gossiper.Member{}, false
}

func (i *instance) Suspect(id uint64) {
	i.fleet.mu.Lock()
	defer i.fleet.mu.Unlock()

	i.suspected[id] = time.Now()
}

func (i *instance) Call(c context.Context, a netip.AddrPort, _ wire.Kind, q msgp.Marshaler, r msgp.Unmarshaler) error {
	n := int(a.Port()) - 1

	i.fleet.mu.Lock()
	cut, down := i.fleet.cut[n] || i.fleet.cut[i.number], i.fleet.down[n]
	i.fleet.mu.Unlock()

	if down {
		return errAway
	}

	if cut {
		<-c.Done()

		return c.Err()
	}

	b, err := q.MarshalMsg(nil)
	if err != nil {
		return err
	}

	m, err := i.fleet.instances[n].repeater.Answer(c, i.member().ID, b)
	if err != nil {
		return err
	}

	b, err = m.MarshalMsg(nil)
	if err != nil {
		return err
	}

	// Messages share the link of their sender, piece by piece.
	for o := 0; o < len(b); o += piece {
		if o > 0 {
			extender.Extend(c)
		}

		k := min(piece, len(b)-o)

		i.fleet.mu.Lock()
		at := latest(time.Now(), i.fleet.free[n]).Add(time.Duration(k) * i.fleet.per(n))
		i.fleet.free[n] = at
		i.fleet.sent += k
		i.fleet.mu.Unlock()

		if err := pass(c, time.Until(at)); err != nil {
			return err
		}
	}

	_, err = r.UnmarshalMsg(b)

	return err
}

// pass waits for a time. None needs no timer: one that is due as it is made, with a
// context that may end, takes the runtime down with the race detector and fake time.
func pass(c context.Context, d time.Duration) error {
	if d <= 0 {
		return c.Err()
	}

	select {
	case <-time.After(d):
		return nil
	case <-c.Done():
		return c.Err()
	}
}

// sink holds the values that an instance knows.
type sink struct {
	mu     sync.Mutex
	values map[string]string
}

func (k *sink) Reset(l []watcher.Record, _ int64) error {
	k.mu.Lock()
	k.values = map[string]string{}
	k.mu.Unlock()

	for _, r := range l {
		k.Change(r)
	}

	return nil
}

func (k *sink) Change(r watcher.Record) {
	k.mu.Lock()
	defer k.mu.Unlock()

	if len(r.Value) == 0 {
		delete(k.values, r.Key)
	} else {
		k.values[r.Key] = string(r.Value)
	}
}

func (k *sink) Read(time.Duration) {}
func (k *sink) Failed(error)       {}

func (k *sink) get(key string) string {
	k.mu.Lock()
	defer k.mu.Unlock()

	return k.values[key]
}

// start runs instances in the given data centres.
func start(t *testing.T, centres ...string) (*fleet, func()) {
	t.Helper()

	return startWith(t, nil, centres...)
}

// startWith runs them with seeds, and returns while they are new to each other.
func startWith(t *testing.T, seeds []netip.AddrPort, centres ...string) (*fleet, func()) {
	t.Helper()

	return startOn(t, newPlatform(), seeds, centres...)
}

func newPlatform() *platform {
	return &platform{changed: make(chan struct{}), refused: map[int]bool{}, silent: map[int]bool{}, reads: map[int]int{}, takes: map[int]time.Duration{}, links: links{free: map[int]time.Time{}}}
}

// startOn runs them on a platform whose changes must be in force within two seconds.
func startOn(t *testing.T, p *platform, seeds []netip.AddrPort, centres ...string) (*fleet, func()) {
	t.Helper()

	return startIn(t, p, seeds, 2*time.Second, centres...)
}

// startIn runs them on a platform whose changes must be in force within a time.
func startIn(t *testing.T, p *platform, seeds []netip.AddrPort, within time.Duration, centres ...string) (*fleet, func()) {
	t.Helper()
	logrus.SetLevel(logrus.FatalLevel)

	f := &fleet{
		platform: p,
		cut:      map[int]bool{},
		down:     map[int]bool{},
		seeds:    seeds,
		free:     map[int]time.Time{},
		wide:     p.links.wide,
	}
	f.platform.put("k", "0")

	waits := watcher.Waits(within)

	for n, c := range centres {
		i := &instance{fleet: f, number: n, centre: c, sink: &sink{}, suspected: map[uint64]time.Time{}}

		r := 1.25e6 // Bytes a second: 10 Mbit/s.
		if f.wide[n] {
			r *= wideTimes
		}

		i.repeater = repeater.New(i, i, meter.New(), r)
		i.stream = i.repeater.Stream("s", view{f.platform, n}, waits)
		f.instances = append(f.instances, i)
		f.members = append(f.members, i.member())
	}

	c, stop := context.WithCancel(t.Context())
	for _, i := range f.instances {
		go watcher.New("s", i.stream, i.sink, 100*time.Millisecond, waits).Run(c)
	}

	if seeds == nil {
		time.Sleep(16 * time.Second)
	}

	return f, func() {
		stop()
		time.Sleep(3 * time.Second)
	}
}

func (f *fleet) set(m map[int]bool, on bool, l ...int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.platform.mu.Lock()
	defer f.platform.mu.Unlock()

	for _, n := range l {
		m[n] = on
	}
}

// A user would be let in with a key that was taken away seconds ago, at one
// instance only: the platform turns that instance away, or it reads through
// another one that is cut off without a sign. Whatever happens to some instances,
// those that someone can tell know a change two seconds after it was made.
func TestChangesReachAllInstances(t *testing.T) {
	for name, x := range map[string]struct {
		spoil func(f *fleet)
		know  []int
	}{
		"all well":                     {func(*fleet) {}, []int{0, 1, 2, 3}},
		"platform refuses the reader":  {func(f *fleet) { f.set(f.platform.refused, true, 0) }, []int{0, 1, 2, 3}},
		"platform is mute to it":       {func(f *fleet) { f.set(f.platform.silent, true, 0) }, []int{0, 1, 2, 3}},
		"refuses a whole data centre":  {func(f *fleet) { f.set(f.platform.refused, true, 0, 1, 2) }, []int{0, 1, 2, 3}},
		"refuses all but one reader":   {func(f *fleet) { f.set(f.platform.refused, true, 1, 2, 3) }, []int{0, 1, 2, 3}},
		"reader can't be called":       {func(f *fleet) { f.set(f.cut, true, 0) }, []int{0, 1, 2, 3}},
		"reader is cut off altogether": {func(f *fleet) { f.set(f.cut, true, 0); f.set(f.platform.silent, true, 0) }, []int{1, 2, 3}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f, stop := start(t, "a", "a", "a", "b")

				x.spoil(f)

				for _, v := range []string{"1", "2", "3"} {
					f.platform.put("k", v)
					time.Sleep(2 * time.Second)

					for _, n := range x.know {
						is.Equal(f.instances[n].sink.get("k"), v)
					}
				}

				stop()
			})
		})
	}
}

// The platform's price is by the call: one instance reads for all. When that is silent, the
// reader of another data centre reads for its own, and not all of them.
func TestOneInstanceReadsForAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, stop := start(t, "a", "a", "a", "b", "b", "b")

		f.platform.mu.Lock()
		clear(f.platform.reads)
		f.platform.mu.Unlock()

		time.Sleep(20 * time.Second)

		reads := func() []int {
			f.platform.mu.Lock()
			defer f.platform.mu.Unlock()

			var o []int

			for n := range f.instances {
				if f.platform.reads[n] > 0 {
					o = append(o, n)
				}
			}

			return o
		}

		l := reads()
		is.Equal(len(l), 1)
		is.True(l[0] == 0 || l[0] == 3) // The readers of the two data centres.

		f.platform.mu.Lock()
		is.True(f.platform.reads[l[0]] > 20 && f.platform.reads[l[0]] < 40)
		clear(f.platform.reads)
		f.platform.mu.Unlock()

		// What it knows grows old without a sign of it.
		f.set(f.cut, true, l[0])
		f.set(f.platform.silent, true, l[0])
		time.Sleep(700 * time.Millisecond) // A read that had begun is answered.
		f.platform.put("k", "v")
		time.Sleep(1500 * time.Millisecond)

		for n, x := range f.instances {
			is.Equal(x.sink.get("k") == "v", n != l[0])
		}

		// In the other data centre its reader has noticed before those who read through it.
		other := 3 - l[0]
		is.True(slices.Contains(reads(), other))
		is.True(!slices.Contains(reads(), other+1))
		is.True(!slices.Contains(reads(), other+2))

		stop()
	})
}

// A target that left while an instance read through another is gone there too.
func TestDroppedKeysAreTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, stop := start(t, "a", "a")

		f.platform.put("gone", "1")
		time.Sleep(time.Second)
		is.Equal(f.instances[1].sink.get("gone"), "1")

		f.platform.put("gone", "")
		time.Sleep(time.Second)
		is.Equal(f.instances[1].sink.get("gone"), "")
		is.Equal(f.instances[1].sink.get("k"), "0")

		stop()
	})
}

// A user would see a target that came get no calls at some instances for good: the platform
// answers the one that reads with a whole list from an older state, whose watcher refuses it;
// what was read was forgotten all the same, what came next was added behind the gap, and
// those who asked from within it were told that nothing was there.
func TestOlderListIsNotTold(t *testing.T) {
	for name, x := range map[string]struct {
		shown int
		// ahead is by how much the end that the list names is too late.
		ahead int64
	}{
		"older end": {shown: 2},
		"newer end": {shown: 2, ahead: 5},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f, stop := start(t, "a")
				i := f.instances[0]

				for _, k := range []string{"k", "a", "b", "a", "k"} { // Two are older ones of what is shown.
					f.platform.put(k, "1")
				}

				time.Sleep(time.Second)
				f.platform.showOnly(x.shown, x.ahead)

				_, _, err := i.stream.Newest(t.Context())
				is.True(err != nil)

				f.platform.showOnly(0, 0)
				f.platform.put("last", "1")
				time.Sleep(time.Second)
				is.Equal(i.sink.get("last"), "1")
				is.Equal(told(t, i, 3), []string{"b", "a", "k", "last"})

				stop()
			})
		})
	}
}

// told returns the keys that an instance tells another of, from an offset on.
func told(t *testing.T, i *instance, from int64) []string {
	t.Helper()
	is := is.New(t)

	q, err := (&wire.StreamRequest{Stream: "s", From: from}).MarshalMsg(nil)
	is.NoErr(err)

	m, err := i.repeater.Answer(t.Context(), 0, q)
	is.NoErr(err)

	r, ok := m.(*wire.StreamReply)
	is.True(ok)

	var o []string
	for _, y := range r.Records {
		o = append(o, y.Key)
	}

	return o
}

// While nobody hears from the platform nobody is taken for one who knows, and the
// refused calls to it stay few.
func TestNobodyKnowsDuringAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, stop := start(t, "a", "a", "b")

		f.set(f.platform.refused, true, 0, 1, 2)
		time.Sleep(5 * time.Second)

		for _, i := range f.instances {
			is.True(time.Since(i.stream.Heard()) > 4*time.Second)
		}

		f.platform.mu.Lock()
		n := f.platform.reads[0]
		f.platform.mu.Unlock()

		time.Sleep(16 * time.Second)
		f.platform.mu.Lock()
		is.True(f.platform.reads[0]-n < 70)
		f.platform.mu.Unlock()

		f.platform.put("k", "back")
		f.set(f.platform.refused, false, 0, 1, 2)
		time.Sleep(2 * time.Second)

		for _, i := range f.instances {
			is.Equal(i.sink.get("k"), "back")
		}

		stop()
	})
}

// The platform is down, and each of twenty-four instances of a data centre asks it
// again and again: every refusal has its price, and the platform's limit on calls is
// spent on them. A few ask for all; when it is back, everybody knows within the time
// that a change may take.
func TestOutageIsProbedByAFew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)

		var centres []string

		var all []int

		for n := range 24 {
			centres = append(centres, "a")
			all = append(all, n)
		}

		f, stop := start(t, centres...)

		f.platform.mu.Lock()
		clear(f.platform.reads)
		f.platform.mu.Unlock()
		f.set(f.platform.refused, true, all...)
		time.Sleep(10 * time.Second)

		f.platform.mu.Lock()
		n := 0

		for _, r := range f.platform.reads {
			n += r
		}
		f.platform.mu.Unlock()

		is.True(n < 120) // 360 and more when each asks by itself.

		f.set(f.platform.refused, false, all...)
		f.platform.put("k", "back")
		time.Sleep(2 * time.Second)

		for _, i := range f.instances {
			is.Equal(i.sink.get("k"), "back")
		}

		stop()
	})
}

// When all instances start at once none knows the others. The seeds read for them,
// and when a seed is gone its instances read themselves.
func TestSeedsReadForThoseThatHaveJustStarted(t *testing.T) {
	for name, x := range map[string]struct {
		cut, late []int
		most      int
	}{
		"seed answers": {nil, nil, 2},
		"seed is gone": {[]int{0}, nil, 30},
		// All start within a third of a second, the seed among the last.
		"seed starts a little later": {nil, []int{0}, 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f, stop := startWith(t, []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1")}, "a", "a", "b", "b")
				f.set(f.cut, true, x.cut...)
				f.set(f.down, true, x.late...)
				time.Sleep(300 * time.Millisecond)
				f.set(f.down, false, x.late...)
				time.Sleep(4700 * time.Millisecond)
				f.platform.put("k", "1")
				time.Sleep(2 * time.Second)

				f.platform.mu.Lock()
				defer f.platform.mu.Unlock()

				for n := 1; n < 4; n++ {
					is.Equal(f.instances[n].sink.get("k"), "1")
					is.True(f.platform.reads[n] <= x.most)
				}

				f.platform.mu.Unlock()
				stop()
				f.platform.mu.Lock()
			})
		})
	}
}

// Guards against waits that fit one platform only: where changes may take longer fewer reads are
// needed, and where they may not they must still come in time, also when who reads is cut off. Of more than
// two seconds one is for the way of a long record.
func TestReadsFollowTheTimeThatChangesMayTake(t *testing.T) {
	for name, x := range map[string]struct {
		within time.Duration
		// most is how many reads the platform may see in 20 quiet seconds.
		most int
	}{
		"one second":   {time.Second, 70},
		"two seconds":  {2 * time.Second, 35},
		"three":        {3 * time.Second, 35},
		"four seconds": {4 * time.Second, 24},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				i := is.New(t)
				f, stop := startIn(t, newPlatform(), nil, x.within, "a", "a", "a", "b", "b", "b")

				reads := func() int {
					f.platform.mu.Lock()
					defer f.platform.mu.Unlock()

					n := 0
					for _, r := range f.platform.reads {
						n += r
					}

					return n
				}

				b := reads()

				time.Sleep(20 * time.Second)

				i.True(reads()-b <= x.most)

				r := f.mostReads()

				f.platform.mu.Lock()
				f.platform.silent[r] = true
				f.platform.mu.Unlock()
				f.set(f.cut, true, r)
				time.Sleep(time.Millisecond)
				f.platform.put("k", "1")
				time.Sleep(watcher.Waits(x.within))

				for k, y := range f.instances {
					if k != r {
						i.Equal(y.sink.get("k"), "1")
					}
				}

				stop()
			})
		})
	}
}

// Guards against the price of reads while nobody knows each other: each seed read for itself for all of
// that time.
func TestOneSeedReadsForTheOthers(t *testing.T) {
	for name, x := range map[string]struct {
		cut  []int
		most int
	}{
		"all answer": {nil, 30},
		// Whichever reads for the others, each of them is the one that is cut off in one case.
		"the first is cut off":  {[]int{0}, 75},
		"the second is cut off": {[]int{1}, 75},
		"the third is cut off":  {[]int{2}, 75},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)

				var l []netip.AddrPort
				for n := range 3 {
					l = append(l, netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(n+1)))
				}

				f, stop := startWith(t, l, "a", "b", "c", "a", "b")
				f.set(f.cut, true, x.cut...)
				time.Sleep(10 * time.Second)
				f.platform.put("k", "1")
				time.Sleep(2 * time.Second)

				f.platform.mu.Lock()

				all := 0

				for n, i := range f.instances {
					if !slices.Contains(x.cut, n) {
						is.Equal(i.sink.get("k"), "1")
					}

					all += f.platform.reads[n]
				}

				f.platform.mu.Unlock()
				stop()
				is.True(all <= x.most)
			})
		})
	}
}

// A user would be let in with a key that was taken away three seconds ago: the
// configuration has grown to hundreds of rules, versions come one after the other, and
// the instance that reads for a data centre sends each of them twenty times over a
// slow link. Here a link that takes as long as the bytes say joins ten instances.
func TestLongRecordsInQuickSuccession(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, stop := start(t, "a", "a", "a", "a", "a", "a", "a", "a", "a", "a")
		f.mu.Lock()
		f.perByte = 800 * time.Nanosecond // 10 Mbit/s.
		f.mu.Unlock()

		rule := `{"name":"rule-%d","host":"app.example","pathPrefix":"/p%d/","kind":"streaming","timeoutMs":12000,"service":"s"},`

		var b strings.Builder
		for n := range 1200 {
			_, _ = fmt.Fprintf(&b, rule, n, n*7)
		}

		for n := range 8 {
			f.platform.put("k", strconv.Itoa(n)+b.String())
			time.Sleep(350 * time.Millisecond)
		}

		time.Sleep(1500 * time.Millisecond)

		for _, i := range f.instances {
			is.True(strings.HasPrefix(i.sink.get("k"), "7{"))
		}

		// What was given up on is sent all the same, and holds up what comes after:
		// all of it must fit the link of one instance for half of the time.
		f.mu.Lock()
		d := time.Duration(f.sent) * f.perByte
		f.mu.Unlock()

		stop()
		is.True(d < 8*350*time.Millisecond/2)
	})
}

// Callers of one instance would wait: sixty instances have just started and read through
// it, while two hundred targets a second enter the list. Told record by record they take
// all of its link of 10 Mbit/s, and nothing is left for calls.
func TestManyTargetsEnterWhileAllHaveJustStarted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)

		f, stop := startWith(t, []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1")}, slices.Repeat([]string{"a"}, 60)...)
		f.mu.Lock()
		f.perByte = 800 * time.Nanosecond // 10 Mbit/s.
		f.mu.Unlock()

		const (
			most  = 1000
			every = 5 * time.Millisecond
		)

		for n := range most {
			f.platform.put("t"+strconv.Itoa(n), entry(n))
			time.Sleep(every)
		}

		f.platform.put("t0", "")
		time.Sleep(2 * time.Second)

		for _, i := range f.instances {
			is.Equal(i.sink.get("t0"), "")
			is.Equal(i.sink.get("t"+strconv.Itoa(most-1)), entry(most-1))
		}

		f.mu.Lock()
		d := time.Duration(f.sent) * f.perByte
		f.mu.Unlock()

		stop()
		is.True(d < most*every/2) // Half of the seed's link is for calls.
	})
}

// entry is what the list says of a target, in size and likeness as targets write it.
func entry(n int) string {
	return fmt.Sprintf(`{"id":"tray-llm-%d","service":"tray-llm","address":"10.%d.%d.%d:8000","zone":"lekki","state":"up",`+
		`"slots":32,"model":"llm","startedMs":%d,"boot":"%x"}`, n, n%7, n%251, n*31%253, 1_700_000_000_000+n*7919, n*2654435761)
}

// All instances were killed together and start again, and the list holds three thousand
// targets: it takes a link of 10 Mbit/s longer than a read of a few targets may last. Given
// up each time and begun anew, it never comes, and the instances serve nobody. Those with
// slow links have it once it is there, and sooner from one whose link is faster.
func TestLongListOverSlowLinks(t *testing.T) {
	const slow = 1500 * time.Millisecond

	for name, x := range map[string]struct {
		takes []time.Duration
		// within is when all know the list.
		within time.Duration
	}{
		"all links are slow":  {takes: []time.Duration{slow, slow, slow, slow}, within: 1600 * time.Millisecond},
		"one is fast":         {takes: []time.Duration{300 * time.Millisecond, slow, slow, slow}, within: 800 * time.Millisecond},
		"one is never served": {takes: []time.Duration{slow, time.Hour, slow, slow}, within: 2200 * time.Millisecond},
		"none is slow":        {takes: []time.Duration{0, 0, 0, 0}, within: 10 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				p := newPlatform()

				for n, d := range x.takes {
					p.takes[n] = d
				}

				f, stop := startOn(t, p, []netip.AddrPort{}, slices.Repeat([]string{"a"}, len(x.takes))...)
				defer stop()

				time.Sleep(x.within)

				for _, i := range f.instances {
					is.Equal(i.sink.get("k"), "0")
				}
			})
		})
	}
}
