package explainer_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/explainer"
)

const (
	one = `time="2026-05-01T10:00:01.500Z" level=info event=callServed id=c1 rule=r took=3ms
  12.1 front-1 time="2026-05-01T10:00:01.200Z" level=info event=attemptFailed error="too slow" id=c1 target=t1
time="2026-05-01T10:00:01.300Z" level=info event=callServed id=c11 rule=r
a line of another program about c1
`
	two = `time="2026-05-01T10:00:00.900Z" level=info event=callRefused id=c1 status=503
time="never" event=callRefused id=c1
`
)

func TestHistoryIsOrderedByTime(t *testing.T) {
	is := is.New(t)
	e := explainer.New("c1")
	is.NoErr(e.Read("one.log", strings.NewReader(one)))
	is.NoErr(e.Read("two.log", strings.NewReader(two)))

	var b strings.Builder

	n, err := e.Write(&b)
	is.NoErr(err)
	is.Equal(n, 3)
	is.Equal(b.String(), `10:00:00.900  callRefused    status=503  [two.log]
10:00:01.200  attemptFailed  error=too slow target=t1  [one.log]
10:00:01.500  callServed     rule=r took=3ms  [one.log]
`)
}

func TestUnknownCall(t *testing.T) {
	is := is.New(t)
	e := explainer.New("other")
	is.NoErr(e.Read("one.log", strings.NewReader(one)))

	n, err := e.Write(&strings.Builder{})
	is.NoErr(err)
	is.Equal(n, 0)
}

// Guards against lines out of order when the wall clock of an instance steps back by 2 s during a
// call: ordered by wall-clock time, the answer would precede the failed attempt, and engineers would look
// for the cause of the failure in the wrong place.
func TestHistoryOrderAcrossClockStep(t *testing.T) {
	const stepped = `time="2026-05-01T10:00:01.500Z" level=info event=attemptFailed id=c1 steady="2026-05-01T10:00:01.500Z" target=t1
time="2026-05-01T09:59:59.600Z" level=info event=callServed id=c1 steady="2026-05-01T10:00:01.600Z" target=t2
`

	is := is.New(t)
	e := explainer.New("c1")
	is.NoErr(e.Read("two.log", strings.NewReader(two)))
	is.NoErr(e.Read("stepped.log", strings.NewReader(stepped)))

	var b strings.Builder

	_, err := e.Write(&b)
	is.NoErr(err)
	is.Equal(b.String(), `10:00:00.900  callRefused    status=503  [two.log]
10:00:01.500  attemptFailed  target=t1  [stepped.log]
10:00:01.600  callServed     target=t2  [stepped.log]
`)
}
