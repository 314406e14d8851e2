package driver

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburntray/auburntray/internal/exchanger"
	"github.com/auburntray/auburntray/internal/sleeper"
)

// cutPause is how long a caller waits before it sends a keyed call again.
const cutPause = 200 * time.Millisecond

// errCut means that a connection or an answer ended before its time.
var errCut = errors.New("cut")

// call is one call that is sent until it is served or its deadline passes.
type call struct {
	path   string
	body   []byte
	header http.Header
	// keyed says that the call carries an idempotency key, so that it may be
	// sent again after it was cut.
	keyed bool
}

// answer is how a call ended.
type answer struct {
	outcome Outcome
	code    string
	status  int
	header  http.Header
	body    []byte
	first   time.Duration
	total   time.Duration
}

// read reads an answer's body and returns it with the time of its first byte.
type read func(r *http.Response) ([]byte, time.Time, error)

// send sends a call. After a "not run", and only then, it comes back when it
// was told to; a connection that is refused goes to the next router, as the
// balancer would send it.
func (d *Driver) send(c context.Context, q call, f read) answer {
	b := time.Now()
	x, stop := context.WithTimeout(c, d.settings.Deadline)

	defer stop()

	for {
		a, w, again := d.try(x, q, f)
		if !again || time.Since(b)+w >= d.settings.Deadline {
			a.total = time.Since(b)
			a.first = min(a.first, a.total)

			return a
		}

		d.result.retried()
		sleeper.Sleep(x, w)
	}
}

func (d *Driver) try(c context.Context, q call, f read) (answer, time.Duration, bool) {
	u := "http://" + d.address().String() + q.path

	r, err := http.NewRequestWithContext(c, http.MethodPost, u, bytes.NewReader(q.body))
	if err != nil {
		return answer{outcome: Failed, code: "request"}, 0, false
	}

	r.Header = q.header.Clone()
	r.GetBody = nil
	s := time.Now()

	p, err := d.client.Do(r)
	if err != nil {
		var o *net.OpError
		if errors.As(err, &o) && o.Op == "dial" {
			return answer{outcome: Refused, code: "dial"}, time.Millisecond, true
		}

		d.result.example(err)

		return answer{outcome: Cut, code: "connection"}, cutPause, q.keyed
	}

	defer func() { _ = p.Body.Close() }()

	if o := p.Header.Get(exchanger.HeaderOutcome); o != string(exchanger.Ran) {
		return refused(p, o)
	}

	t := p.Header.Get(exchanger.HeaderTarget)
	d.flights.add(t, 1)

	defer d.flights.add(t, -1)

	b, first, err := f(p)
	if err != nil {
		d.result.example(err)

		return answer{outcome: Cut, code: "answer"}, 0, false
	}

	return answer{outcome: Served, status: p.StatusCode, header: p.Header, body: b, first: first.Sub(s)}, 0, false
}

// refused reads an answer that is no target's.
func refused(p *http.Response, outcome string) (answer, time.Duration, bool) {
	const most = 64 << 10

	b, _ := io.ReadAll(io.LimitReader(p.Body, most))

	var e struct {
		Error struct {
			Code         string `json:"code"`
			RetryAfterMs int64  `json:"retryAfterMs"`
		} `json:"error"`
	}

	_ = json.Unmarshal(b, &e)

	w := time.Duration(e.Error.RetryAfterMs) * time.Millisecond
	if s, err := strconv.Atoi(p.Header.Get("Retry-After")); err == nil && w == 0 {
		w = time.Duration(s) * time.Second
	}

	a := answer{outcome: Failed, code: e.Error.Code, status: p.StatusCode}
	if outcome == string(exchanger.NotRun) {
		a.outcome = Refused
	}

	// "In progress" asks to come back for the answer of the same call.
	r := w > 0 && (a.outcome == Refused || e.Error.Code == string(exchanger.CodeInProgress))

	return a, w, r
}
