package forwarder_test

import (
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/aggregator"
	"github.com/auburntray/auburntray/internal/discoverer"
	"github.com/auburntray/auburntray/internal/reserver"
)

// fakeReserver stands for the home nodes of all targets.
type fakeReserver struct {
	mu sync.Mutex
	// verdicts are the home nodes' verdicts, by target ID.
	verdicts map[string]aggregator.Verdict
	// grantsFrom is the bound on a target's calls from which its home node grants a slot although
	// the target is full; zero means never.
	grantsFrom int
	requested  []string
	// open counts the reservations that are not released, and releasedAgain those released more
	// than once.
	open, releasedAgain int
	// results are the results with which slots were released.
	results []aggregator.Result
	reports map[string]int
}

func (h *fakeReserver) Reserve(_ context.Context, t *discoverer.Target, q aggregator.Request) (aggregator.Verdict, reserver.Release) {
	h.mu.Lock()
	defer h.mu.Unlock()

	h.requested = append(h.requested, t.ID)

	v := h.verdicts[t.ID]
	if v.Outcome == aggregator.Excluded && q.AllowExcluded {
		v.Outcome = aggregator.Granted
	}

	if v.Outcome == aggregator.Full && h.grantsFrom > 0 && q.MaxCalls >= h.grantsFrom {
		v.Outcome = aggregator.Granted
	}

	if v.Outcome == aggregator.Full || v.Outcome == aggregator.Excluded {
		return v, func(aggregator.Result, float64) {}
	}

	h.open++

	released := false

	return v, func(s aggregator.Result, _ float64) {
		h.mu.Lock()
		defer h.mu.Unlock()

		h.results = append(h.results, s)

		if released {
			h.releasedAgain++
		}

		released = true
		h.open--
	}
}

// unreleased returns the number of reservations that are not released.
func (h *fakeReserver) unreleased() int {
	h.mu.Lock()
	defer h.mu.Unlock()

	return h.open
}

func (h *fakeReserver) Report(t *discoverer.Target, calls int) {
	h.mu.Lock()
	defer h.mu.Unlock()

	h.reports[t.ID] = calls
}

// Guards against calls to a target that seems idle and healthy to this instance, but whose home
// node knows that it is full or fails. The call must go to the next target with a free slot and
// never reach the first. If no target has a free slot, or no home node answers, the call goes to the
// target selected first. Each reservation is released once, however the call ends.
func TestSlotReservation(t *testing.T) {
	granted := aggregator.Verdict{Outcome: aggregator.Granted, Calls: 1}
	full := aggregator.Verdict{Outcome: aggregator.Full, Calls: 8}
	excluded := aggregator.Verdict{Outcome: aggregator.Excluded}

	for name, tc := range map[string]struct {
		verdicts  map[string]aggregator.Verdict
		answer    func(n net.Conn, s received)
		requested []string
		results   []aggregator.Result
		// calls are the numbers of calls that reached the targets.
		calls  []int
		status int
	}{
		"granted":  {map[string]aggregator.Verdict{"t0": granted}, answerOK, []string{"t0"}, []aggregator.Result{aggregator.Answered}, []int{1, 0}, http.StatusOK},
		"full":     {map[string]aggregator.Verdict{"t0": full, "t1": granted}, answerOK, []string{"t0", "t1"}, []aggregator.Result{aggregator.Answered}, []int{0, 1}, http.StatusOK},
		"excluded": {map[string]aggregator.Verdict{"t0": excluded, "t1": granted}, answerOK, []string{"t0", "t1"}, []aggregator.Result{aggregator.Answered}, []int{0, 1}, http.StatusOK},
		"all excluded": {
			map[string]aggregator.Verdict{"t0": excluded, "t1": excluded}, answerOK, []string{"t0", "t1", "t0"}, []aggregator.Result{aggregator.Answered}, []int{1, 0}, http.StatusOK,
		},
		"no home node answers": {nil, answerOK, []string{"t0"}, []aggregator.Result{aggregator.Answered}, []int{1, 0}, http.StatusOK},
		"the target fails":     {map[string]aggregator.Verdict{"t0": granted, "t1": granted}, func(n net.Conn, _ received) { reset(n) }, []string{"t0", "t1"}, []aggregator.Result{aggregator.Failed, aggregator.Failed}, []int{1, 1}, http.StatusBadGateway},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			a, b := &target{answer: tc.answer}, &target{answer: tc.answer}
			g := newGateway(t, a, b)
			h := &fakeReserver{verdicts: tc.verdicts, reports: make(map[string]int)}
			g.forwarder.SetReserver(h)

			i.Equal(g.call(t, http.MethodGet, "/idempotent/", "").status, tc.status)
			i.Equal(h.requested, tc.requested)
			i.Equal(h.results, tc.results)
			i.Equal([]int{a.count(), b.count()}, tc.calls)
			i.Equal(h.open, 0)
			i.Equal(h.releasedAgain, 0)
		})
	}
}

// Guards against a brittle target that is sent one call after the other as it refuses them: the home grants the slot of a refused
// call again before the instances know that the target accepts fewer calls.
func TestSlotOfRefusedCallIsHeld(t *testing.T) {
	for name, x := range map[string]struct {
		brittle []string
		held    int
	}{
		"brittle": {[]string{"Brittle: 3"}, 1},
		"sound":   {nil, 0},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			y := &target{answer: func(n net.Conn, s received) {
				reply(n, s, "503 Service Unavailable", "", append([]string{"Not-Run: full"}, x.brittle...)...)
			}}
			h := &fakeReserver{verdicts: map[string]aggregator.Verdict{"t0": {Outcome: aggregator.Granted, Calls: 1}}, reports: make(map[string]int)}
			g := newGateway(t, y)
			g.forwarder.SetReserver(h)

			i.Equal(g.call(t, http.MethodPost, "/once/", "x").status, http.StatusServiceUnavailable)
			i.Equal(y.count(), 1)
			i.Equal(h.unreleased(), x.held)

			for range 100 {
				if h.unreleased() == 0 {
					break
				}

				time.Sleep(10 * time.Millisecond)
			}

			i.Equal(h.unreleased(), 0)
			i.Equal(h.releasedAgain, 0)
		})
	}
}

// Guards against long queues when all targets are full. A call without a prompt would be late and
// delay others, so it is refused at once, as not run and with a time to retry, unless a queue is
// short. A call with a prompt is sent, since engines order their queues by priority.
func TestAllTargetsFull(t *testing.T) {
	const slots = 8

	for name, tc := range map[string]struct {
		prompt string
		// grantsFrom is the bound on a target's calls from which its home node grants a slot.
		grantsFrom int
		status     int
		calls      int
	}{
		"no prompt, long queues": {"", 3 * slots, http.StatusServiceUnavailable, 0},
		"no prompt, short queue": {"", 2 * slots, http.StatusOK, 1},
		"prompt":                 {"p", 3 * slots, http.StatusOK, 1},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			a, b := &target{answer: answerOK}, &target{answer: answerOK}
			g := newGateway(t, a, b)

			full := aggregator.Verdict{Outcome: aggregator.Full, Calls: tc.grantsFrom}
			h := &fakeReserver{verdicts: map[string]aggregator.Verdict{"t0": full, "t1": full}, grantsFrom: tc.grantsFrom}
			g.forwarder.SetReserver(h)

			r := g.call(t, http.MethodGet, "/idempotent/", "", "Prompt", tc.prompt)
			i.Equal(r.status, tc.status)
			i.Equal(a.count()+b.count(), tc.calls)
			i.Equal(r.header.Get("Retry-After") != "", tc.status != http.StatusOK)
			i.Equal(h.open, 0)
		})
	}
}

// Guards against a new home node that counts one call where the target runs eight, and would grant
// slots without limit. The home node must receive the load that the target reports, unless the load
// is close to the home node's count.
func TestLoadIsReportedToHome(t *testing.T) {
	for name, tc := range map[string]struct {
		running string
		want    map[string]int
	}{
		"home node counts too few":       {"8", map[string]int{"t0": 8}},
		"home node counts about as many": {"3", map[string]int{}},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			g := newGateway(t, &target{answer: func(n net.Conn, s received) {
				reply(n, s, "200 OK", "answer", "Seal: "+s.target, "Running: "+tc.running)
			}})
			h := &fakeReserver{verdicts: map[string]aggregator.Verdict{"t0": {Outcome: aggregator.Granted, Calls: 1}}, reports: make(map[string]int)}
			g.forwarder.SetReserver(h)

			i.Equal(g.call(t, http.MethodGet, "/idempotent/", "").status, http.StatusOK)
			i.Equal(h.reports, tc.want)
		})
	}
}
