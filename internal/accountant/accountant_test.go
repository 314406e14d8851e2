package accountant_test

import (
	"bytes"
	"io"
	"math"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/accountant"
)

const mib = 1 << 20

func TestBudget(t *testing.T) {
	for name, x := range map[string]struct{ process, least, most int64 }{
		"no limit":            {0, math.MaxInt64, math.MaxInt64},
		"very little":         {16 * mib, 1, 16 * mib},
		"the smallest":        {64 * mib, 8 * mib, 64 * mib},
		"that of the review":  {284 * mib, 180 * mib, 240 * mib},
		"more than is usable": {math.MaxInt64, 1 << 60, math.MaxInt64},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := accountant.Budget(x.process)

			is.True(b >= x.least)
			is.True(b <= x.most)
			is.True(b <= accountant.RuntimeLimit(x.process))
		})
	}
}

// Guards against long bodies that leave no memory for short calls, and for calls that must not be repeated.
func TestLongDataLeavesRoom(t *testing.T) {
	is := is.New(t)
	a := accountant.New(128 * mib)

	var l []*accountant.Account

	for {
		x := a.Open(accountant.Body, 64<<10)
		if !x.Reserve(mib) {
			break
		}

		l = append(l, x)
	}

	is.True(int64(len(l))*mib >= a.Budget()*3/4)

	short, once := a.Open(accountant.Body, 64<<10), a.Open(accountant.Body, math.MaxInt64)
	is.True(short.Reserve(64 << 10))
	is.True(!short.Reserve(mib)) // It is long by now.
	is.True(once.Reserve(mib))

	short.Close()
	once.Close()
	l[0].Close()
	l[0].Close()
	is.True(a.Open(accountant.Body, 0).Reserve(mib))
	is.True(!a.Open(accountant.Body, 0).Reserve(mib))
}

// Guards against answers without end that leave no memory for calls.
func TestAnswersLeaveRoom(t *testing.T) {
	is := is.New(t)
	a := accountant.New(128 * mib)

	for a.Open(accountant.Answer, math.MaxInt64).Reserve(mib) {
	}

	is.True(a.Held(accountant.Answer) <= a.Budget()/2)
	is.True(a.Open(accountant.Answer, math.MaxInt64).Reserve(4 << 10)) // A short answer.
	is.True(a.Open(accountant.Body, 0).Reserve(a.Budget() / 3))
}

// Guards against a bound where the settings name no memory.
func TestWithoutLimit(t *testing.T) {
	is := is.New(t)
	a := accountant.New(0)

	is.True(a.Open(accountant.Body, 0).Reserve(1 << 50))

	a.SetLimit(64 * mib)
	is.True(!a.Open(accountant.Body, 0).Reserve(1))

	a.SetLimit(0)
	is.True(a.Open(accountant.Body, 0).Reserve(1))
}

func TestRead(t *testing.T) {
	const most = 3 * mib

	text := strings.Repeat("x", 2*mib)
	errCut := errors.New("cut")

	for name, x := range map[string]struct {
		reader io.Reader
		length int64
		memory int64
		want   int
		err    error
	}{
		"known length":          {strings.NewReader(text), 2 * mib, 0, 2 * mib, nil},
		"unknown length":        {strings.NewReader(text), -1, 0, 2 * mib, nil},
		"empty":                 {strings.NewReader(""), -1, 0, 0, nil},
		"no body":               {strings.NewReader(""), 0, 0, 0, nil},
		"end with the bytes":    {iotest.DataErrReader(strings.NewReader(text)), 2 * mib, 0, 2 * mib, nil},
		"shorter than declared": {strings.NewReader(text), 2*mib + 1, 0, 2 * mib, io.ErrUnexpectedEOF},
		"cut":                   {io.MultiReader(strings.NewReader(text), iotest.ErrReader(errCut)), -1, 0, 2 * mib, errCut},
		"cut in a chunk":        {io.MultiReader(strings.NewReader(text), iotest.ErrReader(io.ErrUnexpectedEOF)), -1, 0, 2 * mib, io.ErrUnexpectedEOF},
		"declared too long":     {strings.NewReader(text), most + 1, 0, 0, accountant.ErrTooLong},
		"too long":              {strings.NewReader(text + text), -1, 0, -1, accountant.ErrTooLong},
		"no memory for all":     {strings.NewReader(text), 2 * mib, mib, 0, accountant.ErrExhausted},
		"no memory for more":    {strings.NewReader(text), -1, mib, -1, accountant.ErrExhausted},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)

			a := accountant.New(0)
			if x.memory > 0 {
				a.SetLimit(128 * mib)
				a.Charge(accountant.Connection, a.Budget()*7/8-x.memory)
			}

			k := a.Open(accountant.Body, 0)
			b, err := k.Read(x.reader, x.length, most)
			is.True(errors.Is(err, x.err))

			if x.err == nil {
				is.NoErr(err)
			}

			if x.want >= 0 {
				is.Equal(b.Len(), int64(x.want))
			}

			// The bytes are the same in order, however they are read.
			var w bytes.Buffer

			_, err = b.WriteTo(&w)
			is.NoErr(err)

			r := b.NewReader()
			l, err := io.ReadAll(iotest.OneByteReader(r))
			is.NoErr(err)
			is.True(bytes.Equal(l, w.Bytes()))
			is.True(a.Held(accountant.Body) >= b.Len())

			is.NoErr(r.Close())
			k.Close()
			is.Equal(a.Held(accountant.Body), int64(0))
		})
	}
}

// Guards against a body that is kept by a transport that has sent it.
func TestClosedReaderIsEmpty(t *testing.T) {
	is := is.New(t)

	b, err := accountant.New(0).Open(accountant.Body, 0).Read(strings.NewReader("text"), -1, mib)
	is.NoErr(err)

	r := b.NewReader()
	is.True(b.InUse())
	is.NoErr(r.Close())
	is.NoErr(r.Close())
	is.True(!b.InUse())

	l, err := io.ReadAll(r)
	is.NoErr(err)
	is.Equal(len(l), 0)
}
