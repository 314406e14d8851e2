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

// interruptedRetryDelay is the delay before the retry of a call with an idempotency key
// whose connection was interrupted.
const interruptedRetryDelay = 200 * time.Millisecond

// errInterrupted means that a connection or an answer ended prematurely.
var errInterrupted = errors.New("connection or answer ended prematurely")

// call is a call with its retries, which end when it is served, fails for good or
// its deadline would pass.
type call struct {
	path   string
	body   []byte
	header http.Header
	// keyed means that the call carries an idempotency key, so that it may be
	// retried after its connection was interrupted.
	keyed bool
}

// answer is the final result of a call.
type answer struct {
	outcome Outcome
	code    string
	status  int
	header  http.Header
	body    []byte
	first   time.Duration
	total   time.Duration
}

// bodyReader reads an answer's body and returns it with the time at which its
// content began.
type bodyReader func(r *http.Response) ([]byte, time.Time, error)

// send sends a call and retries it until the deadline: after the requested delay if
// the answer is "not run" or "in progress", at the next router if the connection is
// refused (as a load balancer would), and after interruptedRetryDelay if a keyed call
// was interrupted before it was answered.
func (d *Driver) send(c context.Context, q call, f bodyReader) answer {
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

		d.result.addRetry()
		sleeper.Sleep(x, w)
	}
}

func (d *Driver) try(c context.Context, q call, f bodyReader) (answer, time.Duration, bool) {
	u := "http://" + d.nextAddress().String() + q.path

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

		d.result.addExample(err)

		return answer{outcome: Interrupted, code: "connection"}, interruptedRetryDelay, q.keyed
	}

	defer func() { _ = p.Body.Close() }()

	if o := p.Header.Get(exchanger.HeaderOutcome); o != string(exchanger.Ran) {
		return parseError(p, o)
	}

	t := p.Header.Get(exchanger.HeaderTarget)
	d.inFlight.add(t, 1)

	defer d.inFlight.add(t, -1)

	b, first, err := f(p)
	if err != nil {
		d.result.addExample(err)

		return answer{outcome: Interrupted, code: "answer"}, 0, false
	}

	return answer{outcome: Served, status: p.StatusCode, header: p.Header, body: b, first: first.Sub(s)}, 0, false
}

// parseError reads an error answer of a router, and returns the delay before a retry
// and whether to retry.
func parseError(p *http.Response, outcome string) (answer, time.Duration, bool) {
	const maxBytes = 64 << 10

	b, _ := io.ReadAll(io.LimitReader(p.Body, maxBytes))

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

	// "In progress" tells the caller to retry later to receive the answer of the
	// same call.
	r := w > 0 && (a.outcome == Refused || e.Error.Code == string(exchanger.CodeInProgress))

	return a, w, r
}
