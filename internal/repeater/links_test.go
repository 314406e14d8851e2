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
	// narrowByteTime is the transfer time of a byte over a link of 10 Mbit/s.
	narrowByteTime = 800 * time.Nanosecond
	// platformByteTime is the time in which the platform sends a byte, for all instances together: 80 MB/s.
	platformByteTime = 12 * time.Nanosecond
	// applyTime is how long a fifth of a core takes to decode and apply a configuration of a megabyte.
	applyTime = 200 * time.Millisecond
	// wideFactor is the bandwidth of a wide link relative to a narrow one.
	wideFactor = 20
	// chunkBytes is how many bytes arrive at a time.
	chunkBytes = 16 << 10
)

// links simulates the transfer of bytes from the platform to each instance.
type links struct {
	// perByte is the transfer time of a byte over an instance's link; zero transfers everything at once.
	perByte time.Duration
	// wide are the instances whose links have wideFactor times the bandwidth.
	wide map[int]bool
	// linkFreeAt is when each instance's link is free again, and platformFreeAt when the platform's link is.
	linkFreeAt     map[int]time.Time
	platformFreeAt time.Time
}

// transfer sends an answer of the platform to an instance, in chunks. It returns when the last has arrived.
func (p *platform) transfer(c context.Context, instance, bytes int) error {
	for ; bytes > 0; bytes -= chunkBytes {
		n := time.Duration(min(bytes, chunkBytes))

		p.mu.Lock()
		l := &p.links
		b := latest(time.Now(), l.platformFreeAt)
		l.platformFreeAt = b.Add(n * platformByteTime)

		d := l.perByte
		if l.wide[instance] {
			d /= wideFactor
		}

		e := latest(l.platformFreeAt, l.linkFreeAt[instance]).Add(n * d)
		l.linkFreeAt[instance] = e
		p.mu.Unlock()

		if err := wait(c, time.Until(e)); err != nil {
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

// configuration returns a configuration with the given number of rules. Their names and prefixes are random, so that
// they compress no better than those that operators choose.
func configuration(rules int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"

	r := rand.New(rand.NewPCG(1, 2))
	text := func(n int) string {
		b := make([]byte, n)
		for k := range b {
			b[k] = letters[r.IntN(len(letters))]
		}

		return string(b)
	}

	var b strings.Builder
	for range rules {
		fmt.Fprintf(&b, `{"name":"r-%s","host":"%s.example","pathPrefix":"/%s/","kind":"idempotent","timeoutMs":600,`+
			`"targetLatencyMs":120,"priority":2,"service":"s","maxAttempts":2,"public":false},`, text(7), text(6), text(8))
	}

	return b.String()
}

// Guards against a configuration that never arrives: it is too long to be forwarded, or to be read over a
// narrow-bandwidth link before the read times out, and each instance reads it from the platform again and again.
func TestLongConfigurationsArriveInTime(t *testing.T) {
	rulesPerMegabyte := 5600

	for name, x := range map[string]struct {
		// instances is their number in each data centre.
		centres, instances, rules int
		within, perByte           time.Duration
		// partitioned separates the region's reader from the platform and from all other instances.
		partitioned bool
		// wide is how many instances of each data centre have a link of wideFactor times the bandwidth.
		wide int
	}{
		"8 instances":                                                      {2, 4, rulesPerMegabyte, 3 * time.Second, narrowByteTime, false, 0},
		"8 instances, reader partitioned":                                  {2, 4, rulesPerMegabyte, 3 * time.Second, narrowByteTime, true, 0},
		"81 instances":                                                     {3, 27, rulesPerMegabyte, 3 * time.Second, narrowByteTime, false, 0},
		"81 instances, reader partitioned":                                 {3, 27, rulesPerMegabyte, 3 * time.Second, narrowByteTime, true, 0},
		"300 instances, links of 20 Mbit/s":                                {6, 50, rulesPerMegabyte, 4 * time.Second, narrowByteTime / 2, false, 0},
		"384 instances, reader partitioned":                                {8, 48, rulesPerMegabyte, 4 * time.Second, narrowByteTime, true, 0},
		"81 instances, two wide links per data centre":                     {3, 27, rulesPerMegabyte, 3 * time.Second, narrowByteTime, false, 2},
		"81 instances, two wide links per data centre, reader partitioned": {3, 27, rulesPerMegabyte, 3 * time.Second, narrowByteTime, true, 2},
		"81 instances, short configuration, reader partitioned":            {3, 27, 40, 3 * time.Second, narrowByteTime, true, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				i := is.New(t)

				var l []string
				for n := range x.centres {
					l = append(l, slices.Repeat([]string{fmt.Sprint(n)}, x.instances)...)
				}

				p := newPlatform()
				p.links.wide = map[int]bool{}

				for n := range l {
					p.links.wide[n] = n%x.instances >= x.instances-x.wide
				}

				f, stop := startWithin(t, p, nil, x.within, l...)
				defer stop()

				i.True(x.wide == 0 || p.links.wide[f.topReader()])

				f.mu.Lock()
				f.perByte = x.perByte
				f.mu.Unlock()
				f.platform.mu.Lock()
				f.platform.links.perByte = x.perByte
				f.platform.mu.Unlock()

				r := -1

				if x.partitioned {
					r = f.topReader()
					f.platform.mu.Lock()
					f.platform.silent[r] = true
					f.platform.mu.Unlock()
					f.set(f.partitioned, true, r)
					time.Sleep(time.Millisecond)
				}

				v := configuration(x.rules)
				f.platform.put("k", v)
				time.Sleep(x.within - applyTime)

				late := 0

				for k, y := range f.instances {
					if k != r && y.handler.get("k") != v {
						late++
					}
				}

				i.Equal(late, 0)
			})
		})
	}
}

// topReader returns the instance with the most reads from the platform.
func (f *fleet) topReader() int {
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
