package delegator_test

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/delegator"
	"github.com/auburntray/auburntray/internal/gossiper"
)

const group = "g"

// members returns n live instances in eight data centres, with the IDs 1 to n.
func members(n int) []gossiper.Member {
	var o []gossiper.Member
	for i := range n {
		o = append(o, gossiper.Member{ID: uint64(i + 1), DataCentre: string(rune('a' + i%8))})
	}

	return o
}

func newDelegator(seed uint64) *delegator.Delegator {
	return delegator.New(rand.New(rand.NewPCG(seed, 0)))
}

// grant returns the grant of an instance.
func grant(unreached ...string) delegator.Grant {
	return delegator.Grant{Address: netip.MustParseAddrPort("127.0.0.1:1"), Token: "t", Unreached: unreached}
}

func TestChoice(t *testing.T) {
	now := time.Unix(1000, 0)

	for name, x := range map[string]struct {
		prepare func(d *delegator.Delegator)
		query   delegator.Query
		want    uint64 // Zero means none.
	}{
		"no grants":            {prepare: func(*delegator.Delegator) {}},
		"one grant":            {prepare: func(d *delegator.Delegator) { d.RecordGrant(now, 3, grant()) }, want: 3},
		"grant expired":        {prepare: func(d *delegator.Delegator) { d.RecordGrant(now.Add(-6*time.Second), 3, grant()) }},
		"has lost its links":   {prepare: func(d *delegator.Delegator) { d.RecordGrant(now, 3, grant(group)) }},
		"has lost others":      {prepare: func(d *delegator.Delegator) { d.RecordGrant(now, 3, grant("h")) }, want: 3},
		"lost its links since": {prepare: func(d *delegator.Delegator) { d.RecordGrant(now, 3, grant()); d.RecordUnreached(now, 3, group) }},
		"full":                 {prepare: func(d *delegator.Delegator) { d.RecordGrant(now, 3, grant()); d.RecordFull(now, 3) }},
		"full a second ago":    {prepare: func(d *delegator.Delegator) { d.RecordGrant(now, 3, grant()); d.RecordFull(now.Add(-time.Second), 3) }, want: 3},
		"silent":               {prepare: func(d *delegator.Delegator) { d.RecordGrant(now, 3, grant()); d.RecordSilent(now, 3) }},
		"silent 2 s ago": {prepare: func(d *delegator.Delegator) {
			d.RecordGrant(now, 3, grant())
			d.RecordSilent(now.Add(-2*time.Second), 3)
		}},
		"granted again": {prepare: func(d *delegator.Delegator) {
			d.RecordSilent(now.Add(-2*time.Second), 3)
			d.RecordGrant(now, 3, grant())
		}, want: 3},
		"no longer live": {prepare: func(d *delegator.Delegator) { d.RecordGrant(now, 30, grant()) }},
		"tried":          {prepare: func(d *delegator.Delegator) { d.RecordGrant(now, 3, grant()) }, query: delegator.Query{Tried: []uint64{3}}},
		"fewest calls": {prepare: func(d *delegator.Delegator) {
			d.RecordGrant(now, 3, grant())
			d.RecordGrant(now, 4, grant())
			d.Start(3)
		}, want: 4},
		"calls have ended": {prepare: func(d *delegator.Delegator) {
			d.RecordGrant(now, 3, grant())
			d.RecordGrant(now, 4, grant())
			d.Start(4)
			d.Start(3)
			d.Finish(3)
		}, want: 3},
		"preferred data centre": {prepare: func(d *delegator.Delegator) { d.RecordGrant(now, 3, grant()); d.RecordGrant(now, 4, grant()) }, query: delegator.Query{DataCentres: []string{"d"}}, want: 4},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			d := newDelegator(1)
			x.prepare(d)

			x.query.Group = group
			o, ok := d.Choose(now, members(6), x.query)
			i.Equal(ok, x.want != 0)
			i.Equal(o.ID, x.want)
		})
	}
}

// Guards against a message for each pair of instances when most instances of the fleet lose their links at once, against
// instances that find no delegate then, and against delegates that get most of the calls.
func TestMostInstancesLoseTheirLinks(t *testing.T) {
	for name, x := range map[string]struct{ instances, intact int }{
		"6 of which 1 is intact":      {6, 1},
		"6 of which 3 are intact":     {6, 3},
		"83 of which 12 are intact":   {83, 12},
		"380 of which 40 are intact":  {380, 40},
		"380 of which 190 are intact": {380, 190},
	} {
		t.Run(name, func(t *testing.T) {
			const (
				// seconds is the time within which first tries must be served.
				seconds = 3
				// maxAsks bounds the requests of an instance in a second: with a reply each has about 200 bytes,
				// and an instance may exchange 9 KB a second.
				maxAsks = 32
				calls   = 20
			)

			i := is.New(t)
			l := members(x.instances)
			now := time.Unix(1000, 0)
			load := make(map[uint64]int)
			served, all, most := 0, 0, 0

			for _, m := range l[x.intact:] {
				d, asks := newDelegator(m.ID), 0

				for tick := range seconds * 10 {
					b := now.Add(time.Duration(tick) * 100 * time.Millisecond)
					if tick%3 != 0 {
						continue
					}

					for _, p := range d.Ask(b, l, m.ID, []string{group}) {
						i.True(p.ID != m.ID)

						if asks++; int(p.ID) <= x.intact {
							d.RecordGrant(b, p.ID, grant())
						} else {
							d.RecordGrant(b, p.ID, grant(group))
						}
					}
				}

				most = max(most, asks)
				e := now.Add(seconds * time.Second)

				for range calls {
					all++

					if o, ok := d.Choose(e, l, delegator.Query{Group: group}); ok {
						served++
						load[o.ID]++
						d.Start(o.ID)
					}
				}
			}

			i.True(most <= maxAsks*seconds)
			i.True(float64(served) >= 0.98*float64(all))

			mean := float64(all) / float64(x.intact)
			for _, n := range load {
				i.True(float64(n) <= 2.5*mean+calls)
			}

			t.Logf("%d of %d calls have a delegate, %d requests at most, %.0f calls for each on average", served, all, most, mean)
		})
	}
}

// Guards against instances that ask each other without end while no instance reaches the targets, and against a delegate
// that is asked again before its grant is old.
func TestRequestsAreBounded(t *testing.T) {
	i := is.New(t)
	d := newDelegator(1)
	now := time.Unix(1000, 0)
	l := members(6)

	for _, m := range d.Ask(now, l, 1, []string{group}) {
		d.RecordGrant(now, m.ID, grant())
	}

	i.Equal(len(d.Ask(now.Add(500*time.Millisecond), l, 1, []string{group})), 0)
	i.Equal(len(d.Ask(now.Add(time.Second), l, 1, []string{group})), 5)

	// An instance whose answer came too late is asked at once.
	d.RecordTimeout(3)

	o := d.Ask(now.Add(1100*time.Millisecond), l, 1, []string{group})
	i.Equal(len(o), 1)
	i.Equal(o[0].ID, uint64(3))
}
