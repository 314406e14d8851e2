package logger_test

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/logger"
)

// buffer is a bytes.Buffer that is safe for concurrent use.
type buffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (x *buffer) Write(b []byte) (int, error) {
	x.mu.Lock()
	defer x.mu.Unlock()

	return x.b.Write(b)
}

func (x *buffer) String() string {
	x.mu.Lock()
	defer x.mu.Unlock()

	return x.b.String()
}

func TestLinesAreWrittenInOrder(t *testing.T) {
	is := is.New(t)

	var b buffer

	l, stop := logger.New(&b)
	for i := range 100 {
		_, err := fmt.Fprintf(l, "line %d\n", i)
		is.NoErr(err)
	}

	stop()
	is.True(strings.HasPrefix(b.String(), "line 0\nline 1\n"))
	is.True(strings.HasSuffix(b.String(), "line 99\n"))
}

// Guards against calls that block because nobody reads the log: the pipe is full, and the write of
// the next line would wait.
func TestStalledReaderDoesNotBlock(t *testing.T) {
	is := is.New(t)
	r, w := io.Pipe() // Nobody reads from r.

	defer r.Close() //nolint:errcheck // Has no error to report.

	l, stop := logger.New(w)
	b := time.Now()

	for range 100000 {
		_, err := l.Write([]byte("line\n"))
		is.NoErr(err)
	}

	is.True(time.Since(b) < time.Second)
	is.True(l.Dropped() > 90000)

	b = time.Now()

	stop()
	is.True(time.Since(b) < 3*time.Second)
}

func TestDroppedLinesAreReported(t *testing.T) {
	is := is.New(t)

	var b buffer

	l, stop := logger.New(&b)
	for range 10000 {
		_, err := l.Write([]byte("line\n"))
		is.NoErr(err)
	}

	n := l.Dropped()
	is.True(n > 5000)
	stop()
	is.True(strings.Contains(b.String(), fmt.Sprintf("event=linesDropped lines=%d", n)))
}

func BenchmarkWrite(b *testing.B) {
	l, stop := logger.New(io.Discard)
	defer stop()

	line := []byte(strings.Repeat("x", 250))

	b.ReportAllocs()

	for b.Loop() {
		_, _ = l.Write(line)
	}
}
