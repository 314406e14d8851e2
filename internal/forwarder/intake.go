package forwarder

import (
	"net"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburntray/auburntray/internal/accountant"
	"github.com/auburntray/auburntray/internal/digester"
)

const (
	// syncWaitFraction is the fraction of its time-out that a call waits for the first catalog and
	// list of targets. The rest is enough for the caller to retry at another instance.
	syncWaitFraction = 0.25
	// maxSyncWait bounds the wait for the catalog and targets. When many instances start at once
	// and read a long catalog, the platform takes most of a second to send it; if it takes longer,
	// there is an outage.
	maxSyncWait = time.Second
)

// readCall reads the description of the call from its headers.
func (f *Forwarder) readCall(x *exchange) error {
	c, err := f.dialect.ReadCall(x.request.Header)
	if err != nil {
		return refuse(http.StatusBadRequest, BadRequest, 0, "%v", err)
	}

	x.call = c
	x.lastEvent = c.LastEvent

	return nil
}

// matchRule finds the call's rule in the catalog in force, which the call uses until its end.
func (f *Forwarder) matchRule(x *exchange) error {
	// An instance that has just started receives its catalog within milliseconds, or most of a
	// second if all instances start at once. A refusal would cost the caller one of its few
	// attempts.
	t := time.NewTimer(f.syncWait(x))
	defer t.Stop()

	select {
	case <-f.state.Synced():
	case <-t.C:
	case <-x.request.Context().Done():
		return errCallerLeft
	}

	x.catalog = f.state.Catalog()
	if x.catalog == nil {
		return refuse(http.StatusServiceUnavailable, NoCatalog, startWait, "no catalog is known yet")
	}

	if n := headerBytes(x.request); x.catalog.Limits.MaxHeader > 0 && n > x.catalog.Limits.MaxHeader {
		return refuse(http.StatusRequestHeaderFieldsTooLarge, HeaderTooLarge, 0, "the headers have %d bytes, at most %d are allowed", n, x.catalog.Limits.MaxHeader)
	}

	r, ok := x.catalog.Match(hostOf(x.request), x.request.URL.Path)
	if !ok {
		return f.deny(http.StatusNotFound, NoRule, "no rule matches")
	}

	x.rule = r
	x.priority = r.Priority
	x.deadline = x.start.Add(f.timeout(x))

	return nil
}

// syncWait returns how long a call waits for the first catalog and list of targets.
func (f *Forwarder) syncWait(x *exchange) time.Duration {
	d := x.call.Timeout
	if d <= 0 {
		d = f.settings.DefaultTimeout
	}

	return min(time.Duration(syncWaitFraction*float64(d)), maxSyncWait)
}

// deny returns the refusal of a call that the catalog does not permit. An instance without a fresh
// catalog may lack the newest rules and keys, so it asks callers to retry, and the retry reaches
// another instance; after a final refusal they would not retry.
func (f *Forwarder) deny(status int, r Reason, m string) error {
	if !f.state.Fresh() {
		return refuse(http.StatusServiceUnavailable, StaleCatalog, staleWait, "%s in a catalog that may be old", m)
	}

	return refuse(status, r, 0, "%s", m)
}

// timeout returns how long the call may take.
func (f *Forwarder) timeout(x *exchange) time.Duration {
	d := x.call.Timeout
	if d <= 0 {
		d = f.settings.DefaultTimeout
	}

	if x.rule.Timeout > 0 {
		d = min(d, x.rule.Timeout)
	}

	return d
}

// authorize finds the customer by API key.
func (f *Forwarder) authorize(x *exchange) error {
	if x.rule.Public || !x.catalog.RequiresKey() {
		return nil
	}

	u, ok := x.catalog.Customer(x.call.Key)
	if !ok {
		return f.deny(http.StatusUnauthorized, UnknownKey, "the key is not known")
	}

	x.customer = u.Name
	x.regions = u.Regions

	if u.HasPriority {
		x.priority = u.Priority
	}

	return nil
}

// readBody reads the whole body, so that it can be sent again and a slow caller occupies no target.
func (f *Forwarder) readBody(x *exchange) error {
	n := f.settings.MaxBody
	if l := x.catalog.Limits.MaxBody; l > 0 {
		n = l
	}

	x.memory = f.memory.Open(accountant.Body, essentialBytes(x))

	// A caller that stops sending must not hold the memory of its body for longer than the call may take. Not all writers
	// support deadlines, and the connection may be closed.
	c := http.NewResponseController(x.writer)
	if x.request.ContentLength != 0 {
		_ = c.SetReadDeadline(x.deadline)
	}

	b, err := x.memory.Read(http.MaxBytesReader(x.writer, x.request.Body, n), x.request.ContentLength, n)

	if err == nil && x.request.ContentLength != 0 {
		_ = c.SetReadDeadline(time.Time{}) // From now on a read only notices that the caller leaves.
	}

	var m *http.MaxBytesError

	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return refuse(http.StatusRequestTimeout, BodyTooLate, 0, "the body did not arrive in time")
	case errors.Is(err, accountant.ErrExhausted):
		return refuseForMemory()
	case errors.As(err, &m) || errors.Is(err, accountant.ErrTooLong):
		return refuse(http.StatusRequestEntityTooLarge, BodyTooLarge, 0, "the body is longer than %d bytes", n)
	case err != nil:
		return errors.Mark(err, errCallerLeft)
	}

	x.body = b
	x.digest = digester.Of(x.customer, x.request.Method, x.request.URL.RequestURI(), b.Chunks()...)
	x.parts = partDigests(x.call.Prompt)

	return nil
}

// headerBytes returns the size of a call's headers, in bytes.
func headerBytes(r *http.Request) int64 {
	const line = len(": \r\n")

	n := len("Host") + len(r.Host) + line

	for k, l := range r.Header {
		for _, v := range l {
			n += len(k) + len(v) + line
		}
	}

	return int64(n)
}

func hostOf(r *http.Request) string {
	h, _, err := net.SplitHostPort(r.Host)
	if err != nil {
		return r.Host
	}

	return h
}
