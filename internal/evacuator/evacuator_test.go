package evacuator_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/evacuator"
)

// Guards against evacuations of several data centres that end each other, and against a snapshot that
// changes while it is read.
func TestEvacuations(t *testing.T) {
	i := is.New(t)
	e := evacuator.New()
	n := time.Unix(0, 0)

	i.True(e.Begin(n, "a"))
	i.True(!e.Begin(n.Add(time.Second), "a")) // A repeated begin keeps the first start.

	s := e.State()

	i.True(e.Begin(n.Add(2*time.Second), "b"))
	i.True(!s.Evacuated("b"))
	i.True(e.State().Evacuated("a"))
	i.True(e.State().Evacuated("b"))

	d, ok := e.End(n.Add(5*time.Second), "a")
	i.True(ok)
	i.Equal(d, 5*time.Second)
	i.True(!e.State().Evacuated("a"))
	i.True(e.State().Evacuated("b"))
	i.Equal(e.State().Ended["a"], n.Add(5*time.Second))

	_, ok = e.End(n.Add(6*time.Second), "a")
	i.True(!ok)

	i.True(e.Begin(n.Add(7*time.Second), "a"))
	i.Equal(len(e.State().Ended), 0)
	i.Equal(e.State(), e.State())
}

// Guards against memory that grows with each name of a data centre that was ever evacuated.
func TestEndedEvacuationsExpire(t *testing.T) {
	i := is.New(t)
	e := evacuator.New()
	n := time.Unix(0, 0)

	for k := range 100 {
		n = n.Add(10 * time.Minute)
		c := string(rune('a' + k))
		e.Begin(n, c)
		e.End(n, c)
	}

	i.True(len(e.State().Ended) <= 6)
}
