package binder_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/auburntray/auburntray/internal/discoverer"
)

// Guards against more writes of versions in use than the log should get, after a start of all at which all groups have other versions.
func TestVersionsInUseOfManyGroups(t *testing.T) {
	const (
		size     = 380
		groups   = 32
		accepted = 1200
		// maxWrites is the part of the writes that the log accepts which notes may take, as in TestReplayOfAllInstancesKilled.
		maxWrites = 0.1
		seconds   = 25
	)

	logrus.SetLevel(logrus.FatalLevel)

	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, size)
		f.setWrites(accepted)

		observe := func(version string) {
			d := discoverer.New(discoverer.DefaultSettings())
			for i := range groups {
				d.Set(discoverer.Target{ID: fmt.Sprint(i), Group: fmt.Sprint("g", i), Version: version})
			}

			r := d.Registry()
			for _, b := range f.instances {
				b.Observe(r)
			}
		}

		observe("v1")
		time.Sleep(15 * time.Second)

		for n := range size {
			f.start(n)
		}

		observe("v2")

		_, before := f.log.counts()
		most := 0

		for range seconds {
			time.Sleep(time.Second)

			_, w := f.log.counts()
			most, before = max(most, w-before), w
		}

		t.Logf("at most %d writes a second of %d", most, accepted)
		is.True(float64(most) <= maxWrites*accepted)
	})
}
