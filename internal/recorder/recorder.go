// Package recorder is a client of the platform's log and of its list of instances.
package recorder

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburntray/auburntray/internal/accountant"
	"github.com/auburntray/auburntray/internal/verifier"
)

const (
	dataCentreHeader = "X-Data-Centre"
	dialTimeout      = time.Second
	// maxAnswerBytes bounds an answer. A thousand records of a document's size are not
	// expected in one answer.
	maxAnswerBytes = 64 << 20
)

// Record is one entry of a stream.
type Record struct {
	Offset uint64    `json:"offset"`
	Time   time.Time `json:"time"`
	Data   []byte    `json:"data"`
}

// Batch is the result of a read. Oldest is the first offset that the log retains, Next
// the offset after the last record, and Now the time of the log's clock. Era rises each time
// that the log comes back from an older copy of itself and assigns offsets again; it is zero
// if the log states none.
type Batch struct {
	Oldest  uint64    `json:"oldest"`
	Next    uint64    `json:"next"`
	Now     time.Time `json:"now"`
	Era     uint64    `json:"era"`
	Records []Record  `json:"records"`
}

// Rewound reports whether the log has come back from an older copy since a reader has read it
// up to an offset in an era. The records of the batch then do not follow those already read.
// A log that states no era is recognized only while it ends before that offset.
func (b Batch) Rewound(era, read uint64) bool {
	return b.Era > era || b.Era == era && b.Next < read
}

// Instance is an entry of the platform's list of instances.
type Instance struct {
	Name        string         `json:"name"`
	Address     netip.AddrPort `json:"address"`
	Role        string         `json:"role"`
	Region      string         `json:"region"`
	DataCentre  string         `json:"dataCentre"`
	Incarnation uint64         `json:"incarnation"`
	Leaving     bool           `json:"leaving"`
	Gone        bool           `json:"gone"`
}

// List holds the changes of the platform's list since a version.
type List struct {
	Version   uint64
	Instances []Instance
	// Invalid are the errors of the entries that can't be decoded. They are not among the instances.
	Invalid []error
}

// Recorder is a client of the platform. It is safe for concurrent use.
type Recorder struct {
	base       url.URL
	dataCentre string
	client     *http.Client
	bytes      atomic.Int64
}

// New returns a Recorder for the platform at an address, and its clean-up function.
// dataCentre is the data centre that this process runs in; it is sent to the platform with
// each request.
func New(a netip.AddrPort, dataCentre string) (*Recorder, func()) {
	t := verifier.New(&http.Transport{
		DialContext:     verifier.Watch((&net.Dialer{Timeout: dialTimeout}).DialContext),
		MaxIdleConns:    8,
		IdleConnTimeout: time.Minute,

		MaxResponseHeaderBytes: verifier.MaxHeadBytes,
	})
	r := &Recorder{
		base:       url.URL{Scheme: "http", Host: a.String()},
		dataCentre: dataCentre,
		client:     &http.Client{Transport: t},
	}

	return r, t.CloseIdleConnections
}

// Bytes returns the number of body bytes sent to and received from the platform so far.
func (r *Recorder) Bytes() int64 {
	return r.bytes.Load()
}

// Append appends records to a stream atomically and returns the offset of the first.
// When it fails with ErrDown, nothing was appended. When it fails with ErrUncertain, the
// records may be in the stream; only a read shows whether they are.
func (r *Recorder) Append(c context.Context, stream string, data [][]byte) (uint64, error) {
	b, err := json.Marshal(struct {
		Records [][]byte `json:"records"`
	}{data})
	if err != nil {
		return 0, errors.Mark(err, ErrAnswer)
	}

	var o struct {
		Offset uint64 `json:"offset"`
	}

	u := r.base.JoinPath("v1", "streams", stream, "records")
	if b, err = r.do(c, http.MethodPost, u, b); err != nil {
		return 0, err
	}

	err = decode(b, &o)

	return o.Offset, err
}

// Read returns records from an offset on. When there are none, it waits up to the given
// time for one; zero means no wait.
func (r *Recorder) Read(c context.Context, stream string, from uint64, wait time.Duration) (Batch, error) {
	u := r.base.JoinPath("v1", "streams", stream, "records")
	u.RawQuery = fmt.Sprintf("from=%d&waitMs=%d", from, wait.Milliseconds())

	a, err := r.do(c, http.MethodGet, u, nil)
	if err != nil {
		return Batch{}, err
	}

	var b Batch

	err = decode(a, &b)

	return b, err
}

// Instances returns the changes in the list of instances since a version.
func (r *Recorder) Instances(c context.Context, since uint64) (List, error) {
	u := r.base.JoinPath("v1", "instances")
	u.RawQuery = fmt.Sprintf("since=%d", since)

	b, err := r.do(c, http.MethodGet, u, nil)
	if err != nil {
		return List{}, err
	}

	l, err := newListReader(b).read()
	if err != nil {
		return List{}, errors.Mark(err, ErrUncertain)
	}

	return l, nil
}

// Register adds an instance to the list. Only the stand-ins use it, in place of the
// platform's own agent.
func (r *Recorder) Register(c context.Context, i Instance) error {
	b, err := json.Marshal(i)
	if err != nil {
		return errors.Mark(err, ErrAnswer)
	}

	_, err = r.do(c, http.MethodPut, r.base.JoinPath("v1", "instances"), b)

	return err
}

// do sends a request and returns the body of its answer.
func (r *Recorder) do(c context.Context, method string, u *url.URL, body []byte) ([]byte, error) {
	q, err := http.NewRequestWithContext(c, method, u.String(), bytes.NewReader(body))
	if err != nil {
		return nil, errors.Mark(err, ErrAnswer)
	}

	q.Header.Set(dataCentreHeader, r.dataCentre)
	q.Header.Set("Content-Type", "application/json")
	// http.Transport retries a request on a new connection when its body can be
	// read again. Whether an append is repeated is for the caller of Append to decide.
	if method == http.MethodPost {
		q.GetBody = nil
	}

	a, err := r.client.Do(q)
	if err != nil {
		return nil, errors.Mark(err, classify(err))
	}

	defer func() { _ = a.Body.Close() }()

	b, err := accountant.ReadAll(a.Body, a.ContentLength, maxAnswerBytes)
	r.bytes.Add(int64(len(b) + len(body)))

	if err != nil {
		return nil, errors.Mark(err, ErrUncertain)
	}

	return b, check(a.StatusCode, b)
}

// check returns an error if the status of an answer is one.
func check(status int, b []byte) error {
	switch {
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		return errors.Mark(errors.Newf("status %d", status), ErrDown)
	case status >= http.StatusInternalServerError:
		return errors.Mark(errors.Newf("status %d", status), ErrUncertain)
	case status >= http.StatusMultipleChoices:
		return errors.Mark(errors.Newf("status %d: %s", status, b), ErrAnswer)
	default:
		return nil
	}
}

// decode decodes an answer.
func decode(b []byte, o any) error {
	// The answer may come from a proxy although the service processed the request, so
	// an unreadable answer leaves the effect unknown.
	if err := json.Unmarshal(b, o); err != nil {
		return errors.Mark(err, ErrUncertain)
	}

	return nil
}

// classify returns ErrDown for a request that was not sent, and ErrUncertain for one that
// may have been.
func classify(err error) error {
	var o *net.OpError
	if errors.As(err, &o) && o.Op == "dial" {
		return ErrDown
	}

	return ErrUncertain
}
