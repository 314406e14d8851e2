package verifier

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// sending is what is known of the sending of a request. Of the attempts that the transport makes by itself, it is that of the last.
type sending struct {
	// context is that of the request.
	context context.Context //nolint:containedctx // It is that of one request.
	// body is nil if the request has none.
	body *sentBody
	// conn is nil if there was no connection, or Watch has not made it; before is how many bytes had been written to it.
	conn   *conn
	before int64
}

// watch returns a copy of a request whose sending is observed.
func (s *sending) watch(q *http.Request) *http.Request {
	o := q.WithContext(httptrace.WithClientTrace(q.Context(), &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) {
			if s.conn = watched(i.Conn); s.conn != nil {
				s.before = s.conn.written.Load()
				s.conn.current.Store(s)
				s.conn.heads.expect()
			}
		},
	}))

	if q.Body == nil || q.Body == http.NoBody {
		return o
	}

	o.Body = s.watchBody(q.Body, q.ContentLength)

	if q.GetBody != nil {
		o.GetBody = func() (io.ReadCloser, error) {
			b, err := q.GetBody()
			if err != nil {
				return nil, err
			}

			return s.watchBody(b, q.ContentLength), nil
		}
	}

	return o
}

func (s *sending) watchBody(b io.ReadCloser, length int64) io.ReadCloser {
	s.body = &sentBody{ReadCloser: b, length: length}

	return s.body
}

// givenUp reports whether nobody waits for the answer any more.
func (s *sending) givenUp() bool {
	return s.context.Err() != nil
}

// end records that the answer has been read to its end. The connection may carry another request by then.
func (s *sending) end() {
	if s.conn != nil {
		s.conn.current.CompareAndSwap(s, nil)
	}
}

// oldFraming reports whether the answer is one of HTTP/1.0 that states a transfer coding.
func (s *sending) oldFraming() bool {
	return s.conn != nil && s.conn.heads.faulty.Load()
}

// begun reports whether a part of the request may have been written.
func (s *sending) begun() bool {
	return s.conn != nil && s.conn.written.Load() != s.before
}

// complete reports whether the whole request has been written, as far as is known.
func (s *sending) complete() bool {
	return (s.body == nil || s.body.wasRead()) && (s.conn == nil || !s.conn.writeFailed())
}

// answerBody is the body of an answer.
type answerBody struct {
	io.ReadCloser

	request *sending
}

// Read implements io.Reader.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.request.end()
	}

	return n, err
}

// sentBody is the body of a request that counts how much of it the transport has read to send it.
type sentBody struct {
	io.ReadCloser

	// length is negative if it is not known.
	length int64
	read   atomic.Int64
	ended  atomic.Bool
}

// Read implements io.Reader.
func (b *sentBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.read.Add(int64(n))

	if errors.Is(err, io.EOF) {
		b.ended.Store(true)
	}

	return n, err
}

// wasRead reports whether the transport has read the whole body.
func (b *sentBody) wasRead() bool {
	return b.ended.Load() || b.length >= 0 && b.read.Load() >= b.length
}

// unframedBody is the body of an answer that ends with its connection.
//
// A server that resets the connection while the request is still being written has not ended its answer. The failed write may take
// note of the reset, and the next read then ends as if the server had closed the connection.
type unframedBody struct {
	io.ReadCloser

	request *sending
}

// Read implements io.Reader. It fails with ErrInvalid in place of io.EOF if the request was not written completely.
func (b *unframedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) && !b.request.complete() {
		err = errors.Mark(errors.New("the answer has neither a length nor chunks and ended while its request was sent"), ErrInvalid)
	}

	return n, err
}
