package chooser_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/chooser"
	"github.com/auburntray/auburntray/internal/enroller"
)

// resters are engines of which some turn all calls away for a time, and ask for rest each time.
type resters struct {
	roster    *enroller.Roster
	instances []*chooser.Chooser
	resting   map[string]bool
	// asked is until when each instance was asked for rest by each engine.
	asked map[string]time.Time
	// early are the calls that came in a rest, by instance and engine.
	early map[string]int
	// served, turnedAway and refused count calls; short are the refusals whose wait is not that of a
	// rest.
	served, turnedAway, refused, short int
}

const askedRest = 3 * time.Second

// call makes one call of an instance, at one engine after the other, two at most.
func (s *resters) call(now time.Time, instance int, q chooser.Query) {
	c := s.instances[instance]

	for range 2 {
		x, ok := c.Choose(now, s.roster, group, q)
		if !ok {
			s.refused++

			if d, ok := c.Rests(now, s.roster, group, q); !ok || d <= 0 || d > askedRest {
				s.short++
			}

			return
		}

		k := fmt.Sprint(instance, x.Target.ID)
		if now.Before(s.asked[k]) {
			s.early[k]++
		}

		c.Start(now, x.Target)

		if !s.resting[x.Target.ID] {
			s.served++

			c.Answered(now, x.Target)
			c.Finish(now, x.Target, chooser.Good)

			return
		}

		s.turnedAway++
		s.asked[k] = now.Add(askedRest)

		c.Rest(now, x.Target, askedRest)
		c.Finish(now, x.Target, chooser.Shed)

		q.Excluded = append(q.Excluded, x.Target.ID)
	}
}

// Guards against calls that come to an engine in the rest that it asked for, against refusals while
// others have room, and against a wait that is not that of the rest.
func TestReplayOfEnginesThatAskForRest(t *testing.T) {
	const (
		instances = 6
		engines   = 18
		prompts   = 40
		step      = 7 * time.Millisecond
		lasts     = 9 * time.Second
	)

	for name, resting := range map[string]int{"none": 0, "five of 18": 5, "all but one": engines - 1, "all": engines} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			r := rand.New(rand.NewPCG(1, 2))
			s := &resters{
				roster: roster(engines, "a", "b"), resting: make(map[string]bool), asked: make(map[string]time.Time),
				early: make(map[string]int),
			}

			for range instances {
				s.instances = append(s.instances, chooser.New(chooser.DefaultSettings()))
			}

			for _, x := range s.roster.Groups[group][:resting] {
				s.resting[x.ID] = true
			}

			now := time.Unix(1000, 0)
			calls := 0

			for d := time.Duration(0); d < lasts; d += step {
				s.call(now.Add(d), r.IntN(instances), query(uint64(1+r.IntN(prompts))))

				calls++
			}

			i.Equal(len(s.early), 0)
			i.Equal(s.short, 0)
			// Three rests and the first call of each instance to each, at most.
			i.True(s.turnedAway <= 4*instances*resting)

			if resting < engines {
				i.True(s.served+2*instances*resting >= calls)
			} else {
				i.Equal(s.served, 0)
				i.Equal(s.refused+s.turnedAway/2 >= calls, true)
			}
		})
	}
}

// Guards against all instances' calls that come back to an engine in the moment at which its rest is
// over.
func TestReplayOfTheEndOfARest(t *testing.T) {
	const instances = 6

	i := is.New(t)
	s := &resters{
		roster: roster(1, "a"), resting: map[string]bool{"t0": true}, asked: make(map[string]time.Time),
		early: make(map[string]int),
	}

	for range instances {
		s.instances = append(s.instances, chooser.New(chooser.DefaultSettings()))
	}

	now := time.Unix(1000, 0)

	for n := range instances {
		s.call(now, n, query(1))
	}

	end := now.Add(askedRest)
	sent := 0

	// None is answered yet.
	for n := range 50 * instances {
		if x, ok := s.instances[n%instances].Choose(end, s.roster, group, query(uint64(n+1))); ok {
			s.instances[n%instances].Start(end, x.Target)

			sent++
		}
	}

	i.Equal(sent, instances)
}
