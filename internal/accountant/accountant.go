// Package accountant accounts for the memory that a process uses because others send it data, and bounds it.
//
// Load pattern: many callers come at once, each with a long body that is kept until the call can't be sent again. Without a
// bound the process is killed for its memory, and all its calls end without an answer.
package accountant

import (
	"math"
	"sync"
)

// Kind is a kind of data, for metrics.
type Kind int

// The kinds of data.
const (
	// Call is what a call in progress takes besides its body and its answer.
	Call Kind = iota
	// Body is the bodies of calls.
	Body
	// Answer is the parts of answers that were not yet relayed.
	Answer
	// Connection is the connections of callers.
	Connection
	// Head is the headers of calls beyond their usual length.
	Head
	// Message is the long messages of other instances.
	Message

	kinds
)

// String returns the kind's name in metrics.
func (k Kind) String() string {
	return [kinds]string{"call", "body", "answer", "connection", "head", "message"}[k]
}

const (
	// CallBytes is what a call in progress takes besides its body and its answer: goroutines, buffers of connections, headers.
	CallBytes = 48 << 10
	// ShortBytes is the length up to which a body is essential data.
	ShortBytes = 64 << 10

	mib = 1 << 20

	// binaryBytes is the memory of a process outside the Go runtime: its program and C libraries.
	binaryBytes = 16 * mib
	// overshootDivisor is the part of the memory that the runtime may exceed its limit by while it collects garbage.
	overshootDivisor = 16
	// baseBytes is what an instance without calls uses: the runtime, the catalog, the targets and the other instances.
	baseBytes = 24 * mib
	// garbageDivisor is the part of the runtime's memory that is left to garbage, so that collections are rare.
	garbageDivisor = 16
	// minBudget lets a process with very little memory serve some calls.
	minBudget = 4 * mib
	// essentialDivisor is the part of the budget that only essential data may use, up to maxEssential.
	essentialDivisor = 8
	maxEssential     = 12 * mib
	// answerDivisor is the part of the budget that answers may use. Answers without end would otherwise leave no room for calls.
	answerDivisor = 2
	// shortAnswer is the length up to which an answer is not bound by that part.
	shortAnswer = 64 << 10
)

// RuntimeLimit returns the limit of the Go runtime's memory, in bytes, for a process that may use the given number of bytes. Zero
// stands for no limit and results in math.MaxInt64.
func RuntimeLimit(process int64) int64 {
	if process <= 0 {
		return math.MaxInt64
	}

	return max(process-process/overshootDivisor-binaryBytes, minBudget)
}

// Budget returns how many bytes a process that may use the given number of bytes may hold because others send it data. Zero
// stands for no limit and results in math.MaxInt64.
func Budget(process int64) int64 {
	if process <= 0 {
		return math.MaxInt64
	}

	l := RuntimeLimit(process)

	return max(l-l/garbageDivisor-baseBytes, minBudget)
}

// Accountant holds the accounts of a process. It is safe for concurrent use.
type Accountant struct {
	mu     sync.Mutex
	budget int64
	held   [kinds]int64
	total  int64
	peak   int64
	// exhausted is called when a reservation fails; it may be nil.
	exhausted func()
}

// New returns an Accountant for a process that may use the given number of bytes; zero sets no bound.
func New(process int64) *Accountant {
	return &Accountant{budget: Budget(process)}
}

// SetLimit replaces the number of bytes that the process may use; zero sets no bound. What is held remains.
func (a *Accountant) SetLimit(process int64) {
	a.mu.Lock()
	defer a.mu.Unlock()

	a.budget = Budget(process)
}

// OnExhausted sets the function that is called each time a reservation fails. It must not block, and must be set before the first
// reservation.
func (a *Accountant) OnExhausted(f func()) {
	a.exhausted = f
}

// Budget returns the number of bytes that may be held, or math.MaxInt64 if there is no bound.
func (a *Accountant) Budget() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()

	return a.budget
}

// Kinds returns all kinds.
func Kinds() []Kind {
	return []Kind{Call, Body, Answer, Connection, Head, Message}
}

// Held returns the number of bytes of a kind that are held.
func (a *Accountant) Held(k Kind) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()

	return a.held[k]
}

// Total returns the number of bytes that are held.
func (a *Accountant) Total() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()

	return a.total
}

// Peak returns the largest number of bytes that were held at a time.
func (a *Accountant) Peak() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()

	return a.peak
}

// reserve reports whether an account may hold n more bytes, and counts them if so.
func (a *Accountant) reserve(x *Account, n int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()

	limit := a.budget
	if x.held+n > x.essential {
		limit -= min(a.budget/essentialDivisor, maxEssential)
	}

	if n > limit-a.total {
		return false
	}

	if x.kind == Answer && x.held+n > shortAnswer && n > a.budget/answerDivisor-a.held[Answer] {
		return false
	}

	a.charge(x.kind, n)

	return true
}

// Charge counts n more bytes of a kind, or fewer if n is negative, without a bound.
func (a *Accountant) Charge(k Kind, n int64) {
	a.mu.Lock()
	defer a.mu.Unlock()

	a.charge(k, n)
}

// charge is Charge. Requires mu to be held.
func (a *Accountant) charge(k Kind, n int64) {
	a.held[k] += n
	a.total += n
	a.peak = max(a.peak, a.total)
}

// Open returns an empty account for data of a kind. As long as it holds at most the given number of bytes, the data is essential:
// it may use a part of the budget that other data may not. The accounts of a nil Accountant have no bound.
func (a *Accountant) Open(k Kind, essential int64) *Account {
	return &Account{accountant: a, kind: k, essential: essential}
}

// Account is the memory that one call, or one answer, holds. It is not safe for concurrent use.
type Account struct {
	accountant *Accountant
	kind       Kind
	essential  int64
	held       int64
}

// Reserve reports whether n more bytes may be held, and counts them if so. None may always be.
func (a *Account) Reserve(n int64) bool {
	if n == 0 {
		return true
	}

	if a.accountant != nil && !a.accountant.reserve(a, n) {
		if f := a.accountant.exhausted; f != nil {
			f()
		}

		return false
	}

	a.held += n

	return true
}

// Close releases all bytes. It may be called more than once.
func (a *Account) Close() {
	if a.held > 0 && a.accountant != nil {
		a.accountant.Charge(a.kind, -a.held)
	}

	a.held = 0
}
