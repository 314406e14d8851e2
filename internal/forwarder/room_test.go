package forwarder_test

import (
	"context"
	"net"
	"net/http"
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/enroller"
	"github.com/auburntray/auburntray/internal/reserver"
	"github.com/auburntray/auburntray/internal/tallier"
)

// homes are the homes of all targets.
type homes struct {
	mu sync.Mutex
	// verdicts are what the homes of targets say, by ID.
	verdicts map[string]tallier.Verdict
	// may is from how many calls that a target may have on its home grants room though it is
	// full; zero is never.
	may   int
	asked []string
	// open counts the reservations that are not over, and twice those that were ended again.
	open, twice int
	// signs are what the calls showed.
	signs   []tallier.Sign
	reports map[string]int
}

func (h *homes) Reserve(_ context.Context, t *enroller.Target, q tallier.Request) (tallier.Verdict, reserver.Release) {
	h.mu.Lock()
	defer h.mu.Unlock()

	h.asked = append(h.asked, t.ID)

	v := h.verdicts[t.ID]
	if v.Outcome == tallier.Left && q.Anyway {
		v.Outcome = tallier.Granted
	}

	if v.Outcome == tallier.Full && h.may > 0 && q.Most >= h.may {
		v.Outcome = tallier.Granted
	}

	if v.Outcome == tallier.Full || v.Outcome == tallier.Left {
		return v, func(tallier.Sign, float64) {}
	}

	h.open++

	over := false

	return v, func(s tallier.Sign, _ float64) {
		h.mu.Lock()
		defer h.mu.Unlock()

		h.signs = append(h.signs, s)

		if over {
			h.twice++
		}

		over = true
		h.open--
	}
}

func (h *homes) Report(t *enroller.Target, calls int) {
	h.mu.Lock()
	defer h.mu.Unlock()

	h.reports[t.ID] = calls
}

// A target that this instance takes for idle and well is full of others' calls, or fails them, as
// its home knows: the call goes to the next one with room, and the first never sees it. When none has room, or
// no home answers, the call goes where it would have gone. Each reservation ends once, however
// the call does.
func TestCallsGoWhereTheyHaveRoom(t *testing.T) {
	granted := tallier.Verdict{Outcome: tallier.Granted, Calls: 1}
	full := tallier.Verdict{Outcome: tallier.Full, Calls: 8}
	left := tallier.Verdict{Outcome: tallier.Left}

	for name, tc := range map[string]struct {
		verdicts map[string]tallier.Verdict
		answer   func(n net.Conn, s seen)
		asked    []string
		signs    []tallier.Sign
		// calls are those that reached the targets.
		calls  []int
		status int
	}{
		"room":             {map[string]tallier.Verdict{"t0": granted}, ok, []string{"t0"}, []tallier.Sign{tallier.Well}, []int{1, 0}, http.StatusOK},
		"full":             {map[string]tallier.Verdict{"t0": full, "t1": granted}, ok, []string{"t0", "t1"}, []tallier.Sign{tallier.Well}, []int{0, 1}, http.StatusOK},
		"to be left alone": {map[string]tallier.Verdict{"t0": left, "t1": granted}, ok, []string{"t0", "t1"}, []tallier.Sign{tallier.Well}, []int{0, 1}, http.StatusOK},
		"all are to be left alone": {
			map[string]tallier.Verdict{"t0": left, "t1": left}, ok, []string{"t0", "t1", "t0"}, []tallier.Sign{tallier.Well}, []int{1, 0}, http.StatusOK,
		},
		"no home answers":  {nil, ok, []string{"t0"}, []tallier.Sign{tallier.Well}, []int{1, 0}, http.StatusOK},
		"the target fails": {map[string]tallier.Verdict{"t0": granted, "t1": granted}, func(n net.Conn, _ seen) { reset(n) }, []string{"t0", "t1"}, []tallier.Sign{tallier.Failed, tallier.Failed}, []int{1, 1}, http.StatusBadGateway},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			a, b := &target{answer: tc.answer}, &target{answer: tc.answer}
			g := front(t, a, b)
			h := &homes{verdicts: tc.verdicts, reports: make(map[string]int)}
			g.forwarder.UseHomes(h)

			i.Equal(g.call(t, http.MethodGet, "/again/", "").status, tc.status)
			i.Equal(h.asked, tc.asked)
			i.Equal(h.signs, tc.signs)
			i.Equal([]int{a.count(), b.count()}, tc.calls)
			i.Equal(h.open, 0)
			i.Equal(h.twice, 0)
		})
	}
}

// All targets are full. A plain call that is sent all the same stands in a line, late and making
// others late: it is refused at once, truly, with when to come back, unless a line is short. A
// call with a prompt goes where engines order their lines, as it was decided before.
func TestFullEverywhere(t *testing.T) {
	const slots = 8

	for name, tc := range map[string]struct {
		prompt string
		// may is how many calls a target may have for its home to grant room.
		may    int
		status int
		calls  int
	}{
		"plain, long lines":   {"", 3 * slots, http.StatusServiceUnavailable, 0},
		"plain, a short line": {"", 2 * slots, http.StatusOK, 1},
		"a prompt":            {"p", 3 * slots, http.StatusOK, 1},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			a, b := &target{answer: ok}, &target{answer: ok}
			g := front(t, a, b)

			full := tallier.Verdict{Outcome: tallier.Full, Calls: tc.may}
			h := &homes{verdicts: map[string]tallier.Verdict{"t0": full, "t1": full}, may: tc.may}
			g.forwarder.UseHomes(h)

			r := g.call(t, http.MethodGet, "/again/", "", "Prompt", tc.prompt)
			i.Equal(r.status, tc.status)
			i.Equal(a.count()+b.count(), tc.calls)
			i.Equal(r.header.Get("Retry-After") != "", tc.status != http.StatusOK)
			i.Equal(h.open, 0)
		})
	}
}

// A home that has just become one counts one call where the target runs eight, and would grant
// room without end. The target's own word is told to it; one that says about the same is not.
func TestHomeIsToldOfWhatItDoesNotKnow(t *testing.T) {
	for name, tc := range map[string]struct {
		running string
		want    map[string]int
	}{
		"it counts too few": {"8", map[string]int{"t0": 8}},
		"about the same":    {"3", map[string]int{}},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			g := front(t, &target{answer: func(n net.Conn, s seen) {
				reply(n, s, "200 OK", "answer", "Seal: "+s.target, "Running: "+tc.running)
			}})
			h := &homes{verdicts: map[string]tallier.Verdict{"t0": {Outcome: tallier.Granted, Calls: 1}}, reports: make(map[string]int)}
			g.forwarder.UseHomes(h)

			i.Equal(g.call(t, http.MethodGet, "/again/", "").status, http.StatusOK)
			i.Equal(h.reports, tc.want)
		})
	}
}
