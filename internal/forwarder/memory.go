package forwarder

import (
	"context"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburntray/auburntray/internal/accountant"
	"github.com/auburntray/auburntray/internal/cataloger"
	"github.com/auburntray/auburntray/internal/selector"
)

// SetMemory sets the bound on what is held for calls. It must be called before the first call is served.
func (f *Forwarder) SetMemory(a *accountant.Accountant) {
	f.memory = a
}

// reserveCall reserves what a call takes besides its body. The caller closes the account when the call ends.
func (f *Forwarder) reserveCall() (*accountant.Account, error) {
	k := f.memory.Open(accountant.Call, accountant.CallBytes)
	if !k.Reserve(accountant.CallBytes) {
		return nil, refuseForMemory()
	}

	return k, nil
}

// refuseForMemory returns the refusal of a call that does not fit into the memory that is left. Callers come back when calls in
// progress have ended, or reach another instance.
func refuseForMemory() *Refusal {
	return refuse(http.StatusServiceUnavailable, NoMemory, memoryWait, "this instance has too little memory for the call")
}

// essentialBytes returns how many bytes of a call's body may use the memory that is kept free. Calls that must not be repeated
// may use all of it: their callers may not send them again as freely.
func essentialBytes(x *exchange) int64 {
	if x.rule.Kind == cataloger.Once {
		return math.MaxInt64
	}

	return accountant.ShortBytes
}

// essentialDelegated is essentialBytes for a call of another instance.
func essentialDelegated(d delegation) int64 {
	if !d.repeatable {
		return math.MaxInt64
	}

	return accountant.ShortBytes
}

// dropBody releases the body.
func (x *exchange) dropBody() {
	if x.memory != nil {
		x.memory.Close()
	}

	x.body = nil
}

// dropSpentBody releases the body of a call that a target has answered, unless the call may be sent again, or the target has answered
// before it has read the body.
func (x *exchange) dropSpentBody() {
	if !x.body.InUse() && (!x.rule.Repeatable() || x.sent+1 >= x.rule.Attempts) {
		x.dropBody()
	}
}

// dropAnswer releases what is held of an answer.
func (x *exchange) dropAnswer() {
	if x.answer != nil {
		x.answer.Close()
	}
}

// readAnswer reads the body of an answer. It fails with accountant.ErrTooLong, or with accountant.ErrExhausted and what has been read.
// What it reads is held until the next answer is read or the call ends.
func (f *Forwarder) readAnswer(x *exchange, a *http.Response) (*accountant.Buffer, error) {
	x.dropAnswer()

	// An answer is essential: its call has run, and its memory is needed for a short time only.
	x.answer = f.memory.Open(accountant.Answer, math.MaxInt64)

	n := a.ContentLength
	if x.request.Method == http.MethodHead {
		n = 0 // The length is that of an answer to a GET.
	}

	return x.answer.Read(a.Body, n, maxAnswerBytes)
}

// mayRelayUnfinished reports whether an answer that doesn't fit into memory is relayed as it arrives. If it has no length, it may
// be one without end, so that a call that may be sent to another target is sent there.
func (f *Forwarder) mayRelayUnfinished(x *exchange, a *http.Response) bool {
	return a.StatusCode < http.StatusInternalServerError && !breaksPromise(x, a.StatusCode) && (a.ContentLength > 0 || !x.rule.Repeatable() || x.sent+1 >= x.rule.Attempts)
}

// relayUnfinished relays an answer that doesn't fit into memory: first the part that has been read, then the rest as it arrives.
func (f *Forwarder) relayUnfinished(c context.Context, x *exchange, t selector.Choice, a *http.Response, b *accountant.Buffer) result {
	if err := context.Cause(c); err != nil {
		return result{err: errors.Mark(err, errBroken), outcome: selector.Failed}
	}

	f.meter.Unbuffered()
	f.recordFirstPart(x, t)

	x.relayed = true
	x.recordRelay(time.Now())
	copyHeader(x.writer.Header(), a.Header)

	if a.ContentLength > 0 {
		x.writer.Header().Set("Content-Length", strconv.FormatInt(a.ContentLength, 10))
	}

	x.writer.WriteHeader(a.StatusCode)

	if _, err := b.WriteTo(x.writer); err != nil {
		return result{err: errors.Mark(err, errCallerLeft), outcome: selector.Inconclusive}
	}

	// The rest may take until the deadline, so nothing may refer to the part from here on.
	left := maxAnswerBytes - b.Len()

	x.dropAnswer()

	w := &callerWriter{writer: x.writer}

	n, err := io.Copy(w, io.LimitReader(a.Body, left+1))
	if err == nil && n > left {
		err = accountant.ErrTooLong
	}

	if err == nil {
		err = f.checkUnframed(c, a, t.Target)
	}

	switch {
	case w.err != nil:
		return result{err: errors.Mark(w.err, errCallerLeft), outcome: selector.Inconclusive}
	case err != nil:
		return result{err: errors.Mark(err, errBroken), outcome: selector.Failed}
	default:
		return result{}
	}
}

// callerWriter tells a failure of the caller's connection from one of the target's.
type callerWriter struct {
	writer io.Writer
	err    error
}

// Write implements io.Writer.
func (w *callerWriter) Write(b []byte) (int, error) {
	n, err := w.writer.Write(b)
	w.err = err

	return n, err
}
