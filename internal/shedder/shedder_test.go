package shedder_test

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/shedder"
)

func TestBound(t *testing.T) {
	for name, x := range map[string]struct{ descriptors, want int }{
		"the users' machines": {4100, 1700},
		"few":                 {300, 100},
		"too few":             {2, 1},
		"none":                {0, 1},
		"a server":            {1 << 20, 523938},
	} {
		t.Run(name, func(t *testing.T) { is.New(t).Equal(shedder.Bound(x.descriptors), x.want) })
	}
}

// Guards against connections that stay open, or are no longer counted, beyond the bound.
func TestConnectionsBeyondTheBoundAreClosed(t *testing.T) {
	i := is.New(t)

	x, err := net.Listen("tcp", "127.0.0.1:0")
	i.NoErr(err)

	shed := make(chan struct{}, 2)
	l := shedder.New(x, func() int { return 1 }, func() bool { return false }, func() { shed <- struct{}{} }, func(int) {})
	accepted := make(chan net.Conn, 2)

	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}

			accepted <- c
		}
	}()

	t.Cleanup(func() { _ = l.Close() })

	dial := func() net.Conn {
		c, err := net.Dial("tcp", x.Addr().String())
		i.NoErr(err)
		t.Cleanup(func() { _ = c.Close() })
		i.NoErr(c.SetDeadline(time.Now().Add(time.Minute)))

		return c
	}

	dial()

	first := <-accepted
	_, err = dial().Read(make([]byte, 1))
	i.Equal(err, io.EOF) // Closed unread.
	<-shed

	i.NoErr(first.Close())
	_ = first.Close() // A second one counts nothing.
	dial()
	<-accepted
	_, err = dial().Read(make([]byte, 1))
	i.Equal(err, io.EOF)
}
