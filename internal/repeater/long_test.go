package repeater_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/extender"
)

const (
	// thin is how long a byte takes a link of 10 Mbit/s.
	thin = 800 * time.Nanosecond
	// storeByte is how long the platform takes to read a byte, for all together: 80 MB a second.
	storeByte = 12 * time.Nanosecond
	// applying is how long a fifth of a core takes to decode a configuration of a megabyte and put it in force.
	applying = 200 * time.Millisecond
	// wideTimes is by how much wide links carry more.
	wideTimes = 20
	// piece is how many bytes come at a time.
	piece = 16 << 10
)

// links are how fast bytes come from the platform to each instance.
type links struct {
	// perByte is how long a byte takes an instance's link; zero carries everything at once.
	perByte time.Duration
	// wide are the instances whose links carry more.
	wide map[int]bool
	// free is when each instance's link is free again, and store when the platform is.
	free  map[int]time.Time
	store time.Time
}

// carry brings an answer of the platform to an instance, in pieces.
func (p *platform) carry(c context.Context, instance, bytes int) error {
	for ; bytes > 0; bytes -= piece {
		n := time.Duration(min(bytes, piece))

		p.mu.Lock()
		l := &p.links
		b := latest(time.Now(), l.store)
		l.store = b.Add(n * storeByte)

		d := l.perByte
		if l.wide[instance] {
			d /= wideTimes
		}

		e := latest(l.store, l.free[instance]).Add(n * d)
		l.free[instance] = e
		p.mu.Unlock()

		if err := pass(c, time.Until(e)); err != nil {
			return err
		}

		extender.Extend(c)
	}

	return nil
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}

	return b
}

// configuration returns one of so many rules, whose names and prefixes are as much unlike each other as those
// of an operator.
func configuration(rules int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"

	r := rand.New(rand.NewPCG(1, 2))
	word := func(n int) string {
		b := make([]byte, n)
		for k := range b {
			b[k] = letters[r.IntN(len(letters))]
		}

		return string(b)
	}

	var b strings.Builder
	for range rules {
		fmt.Fprintf(&b, `{"name":"r-%s","host":"%s.example","pathPrefix":"/%s/","kind":"idempotent","timeoutMs":600,`+
			`"targetLatencyMs":120,"priority":2,"service":"s","maxAttempts":2,"public":false},`, word(7), word(6), word(8))
	}

	return b.String()
}

// Guards against a configuration that is too long to be told, or to be read over a thin link before the read
// is given up: each instance reads it for itself, again and again, and it never comes.
func TestLongConfigurationsComeInTime(t *testing.T) {
	five := 5600 // Rules: some megabyte.

	for name, x := range map[string]struct {
		centres, each, rules int
		within, perByte      time.Duration
		// cut takes the instance that reads for all away from the platform and from all others.
		cut bool
		// wide is how many instances of each data centre have a wide link.
		wide int
	}{
		"8 instances":                     {2, 4, five, 3 * time.Second, thin, false, 0},
		"8, who reads is cut off":         {2, 4, five, 3 * time.Second, thin, true, 0},
		"80 instances":                    {3, 27, five, 3 * time.Second, thin, false, 0},
		"80, who reads is cut off":        {3, 27, five, 3 * time.Second, thin, true, 0},
		"295, links twice as fast":        {6, 50, five, 4 * time.Second, thin / 2, false, 0},
		"380, who reads is cut off":       {8, 48, five, 4 * time.Second, thin, true, 0},
		"80, two wide ones each":          {3, 27, five, 3 * time.Second, thin, false, 2},
		"80, and who reads is cut off":    {3, 27, five, 3 * time.Second, thin, true, 2},
		"80, a short one, reader cut off": {3, 27, 40, 3 * time.Second, thin, true, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				i := is.New(t)

				var l []string
				for n := range x.centres {
					l = append(l, slices.Repeat([]string{fmt.Sprint(n)}, x.each)...)
				}

				p := newPlatform()
				p.links.wide = map[int]bool{}

				for n := range l {
					p.links.wide[n] = n%x.each >= x.each-x.wide
				}

				f, stop := startIn(t, p, nil, x.within, l...)
				defer stop()

				i.True(x.wide == 0 || p.links.wide[f.mostReads()])

				f.mu.Lock()
				f.perByte = x.perByte
				f.mu.Unlock()
				f.platform.mu.Lock()
				f.platform.links.perByte = x.perByte
				f.platform.mu.Unlock()

				out := -1

				if x.cut {
					out = f.mostReads()
					f.platform.mu.Lock()
					f.platform.silent[out] = true
					f.platform.mu.Unlock()
					f.set(f.cut, true, out)
					time.Sleep(time.Millisecond)
				}

				v := configuration(x.rules)
				f.platform.put("k", v)
				time.Sleep(x.within - applying)

				late := 0

				for k, y := range f.instances {
					if k != out && y.sink.get("k") != v {
						late++
					}
				}

				i.Equal(late, 0)
			})
		})
	}
}

// mostReads returns the instance that has read the platform most often.
func (f *fleet) mostReads() int {
	f.platform.mu.Lock()
	defer f.platform.mu.Unlock()

	o := 0

	for k, n := range f.platform.reads {
		if n > f.platform.reads[o] {
			o = k
		}
	}

	return o
}
