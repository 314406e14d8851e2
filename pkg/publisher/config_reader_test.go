package publisher

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/recorder"
)

// eraLog answers each read with the end of an era.
type eraLog struct{ era, next uint64 }

func (l *eraLog) Read(context.Context, string, uint64, time.Duration) (recorder.Batch, error) {
	return recorder.Batch{Era: l.era, Oldest: l.next, Next: l.next}, nil
}

func (l *eraLog) Append(context.Context, string, [][]byte) (uint64, error) {
	return 0, recorder.ErrDown
}

// Guards against an answer of an earlier era that is taken for the present state of the log.
func TestAnswersOfAnEarlierEraAreRefused(t *testing.T) {
	i := is.New(t)
	l := &eraLog{era: 2, next: 7}
	r := newConfigReader(l)

	i.NoErr(r.readBatch(t.Context(), 0))
	i.Equal(r.reducer.Next(), uint64(7))

	l.era, l.next = 1, 9
	i.True(r.readBatch(t.Context(), 0) != nil)
	i.Equal(r.reducer.Next(), uint64(7))
}
