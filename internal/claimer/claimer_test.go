package claimer_test

import (
	"flag"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/auburntray/auburntray/internal/claimer"
)

// Random tests draw the same each run.
func init() { _ = flag.Set("rapid.seed", "1") }

const lifetime = 10 * time.Second

func claim(id uint64) claimer.Record {
	return claimer.Record{Key: 1, ID: id, Body: 5, Lifetime: lifetime}
}

func settle(id uint64, o claimer.Outcome) claimer.Record {
	return claimer.Record{Key: 1, ID: id, Settled: o, Answer: &claimer.Answer{Status: 200, Body: []byte("booked")}}
}

func TestLook(t *testing.T) {
	for name, tc := range map[string]struct {
		records []claimer.Record
		id      uint64
		body    uint64
		after   time.Duration
		want    claimer.Outcome
	}{
		"a key nobody claimed":                       {nil, 1, 5, 0, claimer.Unclaimed},
		"the first claim by offset wins":             {[]claimer.Record{claim(1), claim(2)}, 1, 5, 0, claimer.Won},
		"the second does not":                        {[]claimer.Record{claim(1), claim(2)}, 2, 5, 0, claimer.InProgress},
		"the same claim twice is one claim":          {[]claimer.Record{claim(1), claim(1)}, 1, 5, 0, claimer.Won},
		"a repeat gets the recorded answer":          {[]claimer.Record{claim(1), settle(1, claimer.Ran)}, 2, 5, time.Hour, claimer.Ran},
		"the loser can't settle":                     {[]claimer.Record{claim(1), claim(2), settle(2, claimer.NotRun)}, 3, 5, 0, claimer.InProgress},
		"another body is another call":               {[]claimer.Record{claim(1)}, 2, 6, 0, claimer.Mismatch},
		"the holder died":                            {[]claimer.Record{claim(1)}, 2, 5, lifetime, claimer.Unknown},
		"a released key can be claimed":              {[]claimer.Record{claim(1), settle(1, claimer.NotRun)}, 2, 5, 0, claimer.Unclaimed},
		"and the next claim wins it":                 {[]claimer.Record{claim(1), settle(1, claimer.NotRun), claim(2)}, 2, 5, 0, claimer.Won},
		"the released claim is not won again":        {[]claimer.Record{claim(1), settle(1, claimer.NotRun), claim(2)}, 1, 5, 0, claimer.InProgress},
		"what ran is not released later":             {[]claimer.Record{claim(1), settle(1, claimer.Ran), settle(1, claimer.NotRun)}, 2, 5, 0, claimer.Ran},
		"a late record turns unknown into its truth": {[]claimer.Record{claim(1), settle(1, claimer.Unknown), settle(1, claimer.Ran)}, 2, 5, time.Hour, claimer.Ran},
		"a settlement without its claim is nothing":  {[]claimer.Record{settle(1, claimer.Ran)}, 2, 5, 0, claimer.Unclaimed},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			c := claimer.New(24 * time.Hour)
			now := time.Unix(1000, 0)

			for n, r := range tc.records {
				c.Fold(uint64(n), now, r)
			}

			o, a, _ := c.Look(now.Add(tc.after), 1, tc.id, tc.body)
			i.Equal(o, tc.want)

			if o == claimer.Ran {
				i.Equal(string(a.Body), "booked")
			}
		})
	}
}

func TestExpireDropsWhatIsPastTheWindow(t *testing.T) {
	i := is.New(t)
	c := claimer.New(time.Minute)
	now := time.Unix(1000, 0)
	c.Fold(0, now, claim(1))
	c.Expire(now.Add(time.Minute))
	i.Equal(c.Len(), 1)
	c.Expire(now.Add(time.Minute + time.Second))
	i.Equal(c.Len(), 0)
}

// A call may take longer than its key is remembered. Forgotten while it runs, the
// key would let a repeat run it again.
func TestExpireKeepsWhatMayStillRun(t *testing.T) {
	i := is.New(t)
	c := claimer.New(time.Second)
	now := time.Unix(1000, 0)
	c.Fold(0, now, claim(1))
	c.Expire(now.Add(lifetime - time.Second))

	o, _, _ := c.Look(now.Add(lifetime-time.Second), 1, 2, 5)
	i.Equal(o, claimer.InProgress)
}

// Routers that disagree claim one key through different homes, append twice
// when replies are lost, and release claims they gave up. Whoever reads the
// stream to its end finds at most one claim that may send, and once the call
// ran, none that may.
func TestAtMostOneClaimWins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := claimer.New(time.Hour)
		now := time.Unix(1000, 0)
		ran := false

		for n := range rapid.IntRange(1, 60).Draw(t, "records") {
			id := rapid.Uint64Range(1, 5).Draw(t, "id")
			won, _, _ := c.Look(now, 1, id, 5)

			r := claim(id)
			if rapid.Bool().Draw(t, "settles") {
				r = settle(id, rapid.SampledFrom([]claimer.Outcome{claimer.Ran, claimer.Unknown, claimer.NotRun}).Draw(t, "outcome"))
			}

			// Only a holder settles with an answer: it sent, because it had won.
			if r.Settled == claimer.Ran && won != claimer.Won {
				continue
			}

			ran = ran || r.Settled == claimer.Ran
			c.Fold(uint64(n), now, r)
			c.Fold(uint64(n), now, r) // a replay changes nothing

			holders := 0

			for id := uint64(1); id <= 5; id++ {
				if o, _, _ := c.Look(now, 1, id, 5); o == claimer.Won {
					holders++
				}
			}

			if holders > 1 || (ran && holders > 0) {
				t.Fatalf("%d claims may send, ran %v", holders, ran)
			}
		}
	})
}

// BenchmarkFold gives the memory of a remembered key: its claim and its record.
func BenchmarkFold(b *testing.B) {
	c := claimer.New(time.Hour)
	now := time.Unix(1000, 0)
	k := uint64(0)

	for b.Loop() {
		k++
		c.Fold(2*k, now, claimer.Record{Key: k, ID: k, Body: k, Lifetime: lifetime})
		c.Fold(2*k+1, now, claimer.Record{Key: k, ID: k, Settled: claimer.Ran, Answer: &claimer.Answer{Status: 200}})
	}
}
