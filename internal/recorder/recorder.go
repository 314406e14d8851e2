// Package recorder reads and appends to the platform's log and reads its list
// of instances.
package recorder

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	centreHeader = "X-Data-Centre"
	dialTimeout  = time.Second
	// maxAnswer bounds an answer: a thousand records of a whole document's size
	// are not expected at once.
	maxAnswer = 64 << 20
)

// Record is one entry of a stream.
type Record struct {
	Offset uint64    `json:"offset"`
	Time   time.Time `json:"time"`
	Data   []byte    `json:"data"`
}

// Batch is what a read returns. Oldest is the first offset that is kept, Next
// the one after the last, and Now the log's clock.
type Batch struct {
	Oldest  uint64    `json:"oldest"`
	Next    uint64    `json:"next"`
	Now     time.Time `json:"now"`
	Records []Record  `json:"records"`
}

// Instance is an entry of the platform's list.
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

// List is a change of the platform's list since a version.
type List struct {
	Version   uint64     `json:"version"`
	Instances []Instance `json:"instances"`
}

// Recorder is a client of the platform. It is safe for concurrent use.
type Recorder struct {
	base   url.URL
	centre string
	client *http.Client
	bytes  atomic.Int64
}

// New returns a Recorder for the platform at an address, as seen from a data
// centre, and its clean-up function.
func New(a netip.AddrPort, centre string) (*Recorder, func()) {
	t := &http.Transport{
		DialContext:     (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConns:    8,
		IdleConnTimeout: time.Minute,
	}
	r := &Recorder{
		base:   url.URL{Scheme: "http", Host: a.String()},
		centre: centre,
		client: &http.Client{Transport: t},
	}

	return r, t.CloseIdleConnections
}

// Bytes returns the bytes of bodies exchanged with the platform so far.
func (r *Recorder) Bytes() int64 {
	return r.bytes.Load()
}

// Append adds records to a stream together and returns the offset of the
// first. With ErrDown nothing was appended; with ErrUncertain the records may
// be in the stream, which only reading it can tell.
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
	if err := r.do(c, http.MethodPost, u, b, &o); err != nil {
		return 0, err
	}

	return o.Offset, nil
}

// Read returns records from an offset on. When there are none it waits for
// them up to the given time; zero does not wait.
func (r *Recorder) Read(c context.Context, stream string, from uint64, wait time.Duration) (Batch, error) {
	u := r.base.JoinPath("v1", "streams", stream, "records")
	u.RawQuery = fmt.Sprintf("from=%d&waitMs=%d", from, wait.Milliseconds())

	var b Batch

	err := r.do(c, http.MethodGet, u, nil, &b)

	return b, err
}

// Instances returns what changed in the list of instances since a version.
func (r *Recorder) Instances(c context.Context, since uint64) (List, error) {
	u := r.base.JoinPath("v1", "instances")
	u.RawQuery = fmt.Sprintf("since=%d", since)

	var l List

	err := r.do(c, http.MethodGet, u, nil, &l)

	return l, err
}

// Register enters an instance into the list; the stand-ins use it where the
// platform's own agent would.
func (r *Recorder) Register(c context.Context, i Instance) error {
	b, err := json.Marshal(i)
	if err != nil {
		return errors.Mark(err, ErrAnswer)
	}

	return r.do(c, http.MethodPut, r.base.JoinPath("v1", "instances"), b, nil)
}

func (r *Recorder) do(c context.Context, method string, u *url.URL, body []byte, o any) error {
	q, err := http.NewRequestWithContext(c, method, u.String(), bytes.NewReader(body))
	if err != nil {
		return errors.Mark(err, ErrAnswer)
	}

	q.Header.Set(centreHeader, r.centre)
	q.Header.Set("Content-Type", "application/json")
	// The transport repeats a request on a fresh connection when its body can
	// be read again; an append must not be repeated behind our back.
	if method == http.MethodPost {
		q.GetBody = nil
	}

	a, err := r.client.Do(q)
	if err != nil {
		return errors.Mark(err, failure(err))
	}

	defer func() { _ = a.Body.Close() }()

	b, err := io.ReadAll(io.LimitReader(a.Body, maxAnswer))
	r.bytes.Add(int64(len(b) + len(body)))

	if err != nil {
		return errors.Mark(err, ErrUncertain)
	}

	return answer(a.StatusCode, b, o)
}

func answer(status int, b []byte, o any) error {
	switch {
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		return errors.Mark(errors.Newf("status %d", status), ErrDown)
	case status >= http.StatusInternalServerError:
		return errors.Mark(errors.Newf("status %d", status), ErrUncertain)
	case status >= http.StatusMultipleChoices:
		return errors.Mark(errors.Newf("status %d: %s", status, b), ErrAnswer)
	case o == nil:
		return nil
	}

	// A proxy on the way may answer for a service that acted. What can't be read
	// tells nothing of that.
	if err := json.Unmarshal(b, o); err != nil {
		return errors.Mark(err, ErrUncertain)
	}

	return nil
}

// failure tells a request that was never sent from one that may have been.
func failure(err error) error {
	var o *net.OpError
	if errors.As(err, &o) && o.Op == "dial" {
		return ErrDown
	}

	return ErrUncertain
}
