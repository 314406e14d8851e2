// Package verifier checks answers that arrive over HTTP before anybody uses them. net/http accepts some that are not valid: passed
// on, they would reach callers as other answers than the ones that were sent.
package verifier

import (
	"net/http"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"
)

// ErrInvalid marks answers that are not valid HTTP.
var ErrInvalid = errors.New("the answer is not valid HTTP")

// The range of valid statuses of final answers. See RFC 9110, section 15.
const (
	minStatus = 200
	maxStatus = 599
)

// Verifier is an http.RoundTripper that passes on valid answers only. It is safe for concurrent use.
type Verifier struct {
	transport http.RoundTripper
}

// New returns a Verifier of the answers to what it sends through a transport.
func New(t http.RoundTripper) *Verifier {
	return &Verifier{transport: t}
}

// RoundTrip implements http.RoundTripper. It fails with ErrInvalid if the head of the answer is not valid, and as the transport does.
func (v *Verifier) RoundTrip(q *http.Request) (*http.Response, error) {
	a, err := v.transport.RoundTrip(q)
	if err != nil {
		return nil, err
	}

	if err := checkHead(a); err != nil {
		_ = a.Body.Close() // Nothing of the answer is used.

		return nil, errors.Mark(err, ErrInvalid)
	}

	return a, nil
}

// CloseIdleConnections closes the idle connections of the transport, if it keeps any.
func (v *Verifier) CloseIdleConnections() {
	if t, ok := v.transport.(interface{ CloseIdleConnections() }); ok {
		t.CloseIdleConnections()
	}
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
