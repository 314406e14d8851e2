package selector_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/discoverer"
	"github.com/auburntray/auburntray/internal/selector"
)

// backoffReplay simulates a group of engines. Those in refusing refuse every call and request a backoff with each
// refusal.
type backoffReplay struct {
	registry  *discoverer.Registry
	instances []*selector.Selector
	refusing  map[string]bool
	// backoffEnd is when the backoff between an instance and an engine expires.
	backoffEnd map[string]time.Time
	// early counts the calls sent during a backoff, by instance and engine.
	early map[string]int
	// served counts the answered calls, refusedByEngine the attempts that an engine refused, and refused the calls
	// for which no engine was left. wrongWait counts those of the latter for which no wait between zero and the
	// backoff was reported.
	served, refusedByEngine, refused, wrongWait int
}

const backoff = 3 * time.Second

// call sends one call of an instance, which tries at most two engines.
func (s *backoffReplay) call(now time.Time, instance int, q selector.Query) {
	c := s.instances[instance]

	for range 2 {
		x, ok := c.Choose(now, s.registry, group, q)
		if !ok {
			s.refused++

			if d, ok := c.GroupBackoff(now, s.registry, group, q); !ok || d <= 0 || d > backoff {
				s.wrongWait++
			}

			return
		}

		k := fmt.Sprint(instance, x.Target.ID)
		if now.Before(s.backoffEnd[k]) {
			s.early[k]++
		}

		c.Start(now, x.Target)

		if !s.refusing[x.Target.ID] {
			s.served++

			c.RecordAnswer(now, x.Target)
			c.Finish(now, x.Target, selector.Answered)

			return
		}

		s.refusedByEngine++
		s.backoffEnd[k] = now.Add(backoff)

		c.StartBackoff(now, x.Target, backoff)
		c.Finish(now, x.Target, selector.Shed)

		q.Tried = append(q.Tried, x.Target.ID)
	}
}

// Guards against calls sent to an engine during its backoff, against refusals while other engines have free
// slots, and against a reported wait that does not match the backoff.
func TestReplayOfEnginesThatRequestBackoff(t *testing.T) {
	const (
		instances = 6
		engines   = 18
		prompts   = 40
		step      = 7 * time.Millisecond
		duration  = 9 * time.Second
	)

	for name, refusing := range map[string]int{"none": 0, "five of 18": 5, "all but one": engines - 1, "all": engines} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			r := rand.New(rand.NewPCG(1, 2))
			s := &backoffReplay{
				registry: registry(engines, "a", "b"), refusing: make(map[string]bool), backoffEnd: make(map[string]time.Time),
				early: make(map[string]int),
			}

			for range instances {
				s.instances = append(s.instances, selector.New(selector.DefaultSettings()))
			}

			for _, x := range s.registry.Groups[group][:refusing] {
				s.refusing[x.ID] = true
			}

			now := time.Unix(1000, 0)
			calls := 0

			for d := time.Duration(0); d < duration; d += step {
				s.call(now.Add(d), r.IntN(instances), query(uint64(1+r.IntN(prompts))))

				calls++
			}

			i.Equal(len(s.early), 0)
			i.Equal(s.wrongWait, 0)
			// Per instance and refusing engine: the first call, and one probe call after each of three backoffs.
			i.True(s.refusedByEngine <= 4*instances*refusing)

			if refusing < engines {
				i.True(s.served+2*instances*refusing >= calls)
			} else {
				i.Equal(s.served, 0)
				i.Equal(s.refused+s.refusedByEngine/2 >= calls, true)
			}
		})
	}
}

// Guards against the calls of all instances being sent at once when the backoff of an engine expires.
func TestReplayOfBackoffExpiry(t *testing.T) {
	const instances = 6

	i := is.New(t)
	s := &backoffReplay{
		registry: registry(1, "a"), refusing: map[string]bool{"t0": true}, backoffEnd: make(map[string]time.Time),
		early: make(map[string]int),
	}

	for range instances {
		s.instances = append(s.instances, selector.New(selector.DefaultSettings()))
	}

	now := time.Unix(1000, 0)

	for n := range instances {
		s.call(now, n, query(1))
	}

	end := now.Add(backoff)
	sent := 0

	// No probe call is answered yet.
	for n := range 50 * instances {
		if x, ok := s.instances[n%instances].Choose(end, s.registry, group, query(uint64(n+1))); ok {
			s.instances[n%instances].Start(end, x.Target)

			sent++
		}
	}

	i.Equal(sent, instances)
}
