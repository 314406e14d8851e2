// Package verifier checks answers that arrive over HTTP before anybody uses them. net/http accepts some that are not valid: passed
// on, they would reach callers as other answers than the ones that were sent.
package verifier

import (
	"net/http"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"
)

var (
	// ErrInvalid marks answers that are not valid HTTP, or that are not known to be whole.
	ErrInvalid = errors.New("the answer is not valid HTTP")
	// ErrNotSent marks requests of which certainly nothing was sent.
	ErrNotSent = errors.New("the request was not sent")
)

// MaxHeadBytes bounds the head of an answer, with those of the interim answers before it, in bytes. Transports should set it, since
// net/http reads heads of 10 MB without it.
const MaxHeadBytes = 64 << 10

// The range of valid statuses of final answers. See RFC 9110, section 15.
const (
	minStatus = 200
	maxStatus = 599
)

// Verifier is an http.RoundTripper that passes on valid answers only. It is safe for concurrent use.
type Verifier struct {
	transport http.RoundTripper
}

// New returns a Verifier of the answers to what it sends through a transport. The transport's connections should be made by the Dial
// that Watch returns: without it, each failure counts as one before anything was sent.
func New(t http.RoundTripper) *Verifier {
	return &Verifier{transport: t}
}

// RoundTrip implements http.RoundTripper. It fails with ErrInvalid if the head of the answer is not valid, and as the transport does,
// also with ErrNotSent if nothing was sent. Reading the body fails with ErrInvalid if its end can't be that of the answer.
func (v *Verifier) RoundTrip(q *http.Request) (*http.Response, error) {
	s := &sending{context: q.Context()}

	a, err := v.transport.RoundTrip(s.watch(q))

	switch {
	case err != nil && s.begun():
		return nil, err
	case err != nil:
		return nil, errors.Mark(err, ErrNotSent)
	}

	a.Request = q

	err = checkHead(a)
	if s.oldFraming() {
		err = errors.Newf("answer of version %q with a transfer coding", a.Proto)
	}

	if err != nil {
		_ = a.Body.Close() // Nothing of the answer is used.

		return nil, errors.Mark(err, ErrInvalid)
	}

	switch {
	case a.Body == http.NoBody:
		s.end()
	case IsUnframed(a):
		a.Body = &unframedBody{ReadCloser: &answerBody{ReadCloser: a.Body, request: s}, request: s}
	default:
		a.Body = &answerBody{ReadCloser: a.Body, request: s}
	}

	return a, nil
}

// CloseIdleConnections closes the idle connections of the transport, if it keeps any.
func (v *Verifier) CloseIdleConnections() {
	if t, ok := v.transport.(interface{ CloseIdleConnections() }); ok {
		t.CloseIdleConnections()
	}
}

// IsUnframed reports whether an answer has neither a length nor chunks. It ends with its connection, and so does the beginning of one
// whose server crashes.
func IsUnframed(a *http.Response) bool {
	return a.ContentLength < 0 && len(a.TransferEncoding) == 0 && a.Body != http.NoBody
}

// checkHead fails if the head of an answer is not valid.
func checkHead(a *http.Response) error {
	// 101 is none either, since no request asks for another protocol. net/http consumes all other interim answers.
	if a.StatusCode < minStatus || a.StatusCode > maxStatus {
		return errors.Newf("answer with status %q", a.Status)
	}

	if a.ProtoMajor != 1 {
		return errors.Newf("answer of version %q", a.Proto)
	}

	// net/http accepts names with blanks, does not take them for the names without, and leaves them out when it writes a head: an
	// answer with "Content-Length : 4" would be passed on with another body.
	for n := range a.Header {
		if !httpguts.ValidHeaderFieldName(n) {
			return errors.Newf("answer with a field named %q", n)
		}
	}

	return nil
}
