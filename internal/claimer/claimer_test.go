package claimer_test

import (
	"flag"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/auburntray/auburntray/internal/claimer"
)

// Fixes the seed, so that random tests draw the same values in each run.
func init() { _ = flag.Set("rapid.seed", "1") }

const lifetime = 10 * time.Second

func claim(id uint64) claimer.Record {
	return claimer.Record{Key: 1, ID: id, Body: 5, Lifetime: lifetime}
}

func settle(id uint64, o claimer.Outcome) claimer.Record {
	return claimer.Record{Key: 1, ID: id, Settled: o, Answer: &claimer.Answer{Status: 200, Body: []byte("booked")}}
}

func TestLookup(t *testing.T) {
	for name, tc := range map[string]struct {
		records []claimer.Record
		id      uint64
		body    uint64
		after   time.Duration
		want    claimer.Outcome
	}{
		"unclaimed key":                         {nil, 1, 5, 0, claimer.Unclaimed},
		"claim with the lowest offset wins":     {[]claimer.Record{claim(1), claim(2)}, 1, 5, 0, claimer.Won},
		"later claim is in progress":            {[]claimer.Record{claim(1), claim(2)}, 2, 5, 0, claimer.InProgress},
		"duplicate of a claim counts once":      {[]claimer.Record{claim(1), claim(1)}, 1, 5, 0, claimer.Won},
		"repeat receives the recorded answer":   {[]claimer.Record{claim(1), settle(1, claimer.Ran)}, 2, 5, time.Hour, claimer.Ran},
		"losing claim can't settle":             {[]claimer.Record{claim(1), claim(2), settle(2, claimer.NotRun)}, 3, 5, 0, claimer.InProgress},
		"different body is a mismatch":          {[]claimer.Record{claim(1)}, 2, 6, 0, claimer.Mismatch},
		"holder crashed":                        {[]claimer.Record{claim(1)}, 2, 5, lifetime, claimer.Unknown},
		"released key is unclaimed":             {[]claimer.Record{claim(1), settle(1, claimer.NotRun)}, 2, 5, 0, claimer.Unclaimed},
		"released key is won by the next claim": {[]claimer.Record{claim(1), settle(1, claimer.NotRun), claim(2)}, 2, 5, 0, claimer.Won},
		"released claim does not win again":     {[]claimer.Record{claim(1), settle(1, claimer.NotRun), claim(2)}, 1, 5, 0, claimer.InProgress},
		"recorded answer is not released":       {[]claimer.Record{claim(1), settle(1, claimer.Ran), settle(1, claimer.NotRun)}, 2, 5, 0, claimer.Ran},
		"late answer replaces unknown":          {[]claimer.Record{claim(1), settle(1, claimer.Unknown), settle(1, claimer.Ran)}, 2, 5, time.Hour, claimer.Ran},
		"settlement without a claim is ignored": {[]claimer.Record{settle(1, claimer.Ran)}, 2, 5, 0, claimer.Unclaimed},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			c := claimer.New(24 * time.Hour)
			now := time.Unix(1000, 0)

			for n, r := range tc.records {
				c.Apply(uint64(n), now, r)
			}

			o, a, _ := c.Lookup(now.Add(tc.after), 1, tc.id, tc.body)
			i.Equal(o, tc.want)

			if o == claimer.Ran {
				i.Equal(string(a.Body), "booked")
			}
		})
	}
}

func TestExpireDropsKeysPastTheWindow(t *testing.T) {
	i := is.New(t)
	c := claimer.New(time.Minute)
	now := time.Unix(1000, 0)
	c.Apply(0, now, claim(1))
	c.Expire(now.Add(time.Minute))
	i.Equal(c.Len(), 1)
	c.Expire(now.Add(time.Minute + time.Second))
	i.Equal(c.Len(), 0)
}

// Guards against a second run of a call that takes longer than the window: its key must not
// be dropped while the call may still run.
func TestExpireRetainsKeysOfRunningCalls(t *testing.T) {
	i := is.New(t)
	c := claimer.New(time.Second)
	now := time.Unix(1000, 0)
	c.Apply(0, now, claim(1))
	c.Expire(now.Add(lifetime - time.Second))

	o, _, _ := c.Lookup(now.Add(lifetime-time.Second), 1, 2, 5)
	i.Equal(o, claimer.InProgress)
}

// Guards against a call that runs twice. The random records contain what routers append when
// they disagree on the home: claims on one key through different homes, duplicates after lost
// replies, and releases of abandoned claims. At any offset at most one claim may hold the
// key, and none once the call has run.
func TestAtMostOneClaimWins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := claimer.New(time.Hour)
		now := time.Unix(1000, 0)
		ran := false

		for n := range rapid.IntRange(1, 60).Draw(t, "records") {
			id := rapid.Uint64Range(1, 5).Draw(t, "id")
			won, _, _ := c.Lookup(now, 1, id, 5)

			r := claim(id)
			if rapid.Bool().Draw(t, "settles") {
				r = settle(id, rapid.SampledFrom([]claimer.Outcome{claimer.Ran, claimer.Unknown, claimer.NotRun}).Draw(t, "outcome"))
			}

			// Only the holder records an answer, since only it sends the call.
			if r.Settled == claimer.Ran && won != claimer.Won {
				continue
			}

			ran = ran || r.Settled == claimer.Ran
			c.Apply(uint64(n), now, r)
			c.Apply(uint64(n), now, r) // A replay has no effect.

			holders := 0

			for id := uint64(1); id <= 5; id++ {
				if o, _, _ := c.Lookup(now, 1, id, 5); o == claimer.Won {
					holders++
				}
			}

			if holders > 1 || (ran && holders > 0) {
				t.Fatalf("%d claims hold the key, want at most 1, or 0 after the call ran (ran: %v)", holders, ran)
			}
		}
	})
}

// BenchmarkApply measures the memory per retained key: its claim and its settlement.
func BenchmarkApply(b *testing.B) {
	c := claimer.New(time.Hour)
	now := time.Unix(1000, 0)
	k := uint64(0)

	for b.Loop() {
		k++
		c.Apply(2*k, now, claimer.Record{Key: k, ID: k, Body: k, Lifetime: lifetime})
		c.Apply(2*k+1, now, claimer.Record{Key: k, ID: k, Settled: claimer.Ran, Answer: &claimer.Answer{Status: 200}})
	}
}
