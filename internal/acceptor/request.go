package acceptor

import (
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburntray/auburntray/internal/accountant"
)

const (
	// arrivalTime is how long an answer waits for the rest of a short body, so that its connection remains in use; arrivalBytes is the
	// length of such a rest. Usually it has arrived with the head.
	arrivalTime  = 50 * time.Millisecond
	arrivalBytes = 64 << 10
)

// handler returns a handler that ends the connection of each request which is answered before its body was read.
//
// A server would go on to read such a body for as long as its client takes to send it.
func (a *Acceptor) handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connection(r.Context())
		if c == nil {
			h.ServeHTTP(w, r)

			return
		}

		a.reaper.RecordHeaders(r.Context())

		if r.ProtoMajor != 1 {
			a.serveShared(h, w, r)

			return
		}

		next := h
		if !c.endHead(r) {
			next = http.HandlerFunc(a.refuseForMemory)
		}

		if r.Body == nil || r.Body == http.NoBody {
			next.ServeHTTP(w, r)

			return
		}

		q := *r
		x := &request{ResponseWriter: w, conn: c, body: r.Body, expects: r.Header.Get("Expect") != ""}
		q.Body = x

		defer x.end()

		next.ServeHTTP(x, &q)

		x.returned = true
	})
}

// serveShared serves a request of HTTP/2, whose connection serves others at the same time. The server ends what it refuses.
func (a *Acceptor) serveShared(h http.Handler, w http.ResponseWriter, r *http.Request) {
	k := a.settings.Memory.Open(accountant.Head, 0)
	defer k.Close()

	if !k.Reserve(sizeOf(r).beyondUsual()) {
		a.refuseForMemory(w, r)

		return
	}

	h.ServeHTTP(w, r)
}

// refuseForMemory refuses a request for whose head there is no memory.
func (a *Acceptor) refuseForMemory(w http.ResponseWriter, _ *http.Request) {
	a.settings.Reporter.report(HeadMemory, 1)
	w.Header().Set("Retry-After", memoryWait)
	w.WriteHeader(http.StatusServiceUnavailable)
}

// request is a request with a body, and its answer. It is used by one goroutine at a time.
type request struct {
	http.ResponseWriter

	conn *conn
	body io.ReadCloser
	// expects means that the client sends its body only when it is asked for it.
	expects bool
	// since is when the first part of the body was awaited.
	since time.Time
	// whole and failed tell how the body has ended.
	whole, failed bool
	answered      bool
	// returned means that the handler has not panicked.
	returned bool
}

// Read implements io.Reader for the body.
func (x *request) Read(b []byte) (int, error) {
	if x.since.IsZero() {
		x.since = time.Now()
	}

	p := x.conn.begin(body, x.since)
	n, err := x.body.Read(b)

	switch {
	case err == nil:
		x.conn.restore(p)
	case errors.Is(err, io.EOF):
		x.whole = true
		x.conn.restore(p)
	default:
		x.failed = true
	}

	return n, err
}

// Close implements io.Closer for the body.
func (x *request) Close() error {
	return x.body.Close()
}

// WriteHeader implements http.ResponseWriter.
func (x *request) WriteHeader(status int) {
	if !x.answered && status >= http.StatusOK {
		x.answered = true
		x.settle()
	}

	x.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (x *request) Write(b []byte) (int, error) {
	if !x.answered {
		x.WriteHeader(http.StatusOK)
	}

	return x.ResponseWriter.Write(b)
}

// Flush implements http.Flusher.
func (x *request) Flush() {
	if !x.answered {
		x.WriteHeader(http.StatusOK)
	}

	_ = http.NewResponseController(x.ResponseWriter).Flush() // The next write fails if the client has left.
}

// Unwrap returns the writer for http.ResponseController.
func (x *request) Unwrap() http.ResponseWriter {
	return x.ResponseWriter
}

// settle decides before the answer is written whether the connection remains in use: only if nothing of the body is still to come.
func (x *request) settle() {
	if x.whole {
		return
	}

	if !x.expects && !x.failed {
		x.conn.setReadDeadline(time.Now().Add(arrivalTime))

		if _, err := io.CopyN(io.Discard, x, arrivalBytes); errors.Is(err, io.EOF) {
			return
		}
	}

	x.Header().Set("Connection", "close")
}

// end ends the connection unless the whole body was read.
func (x *request) end() {
	switch {
	case !x.returned:
		// The server reads on after a panic.
		x.conn.setReadDeadline(past)
	case !x.answered:
		x.WriteHeader(http.StatusOK)
	}

	if !x.whole && x.returned {
		x.conn.refuse()
	}
}
