package quarantiner

import (
	"slices"
	"time"

	"github.com/auburntray/auburntray/internal/discoverer"
)

// maxHistory is the number of crashes that are remembered whatever was in flight at them, the newest ones. When older ones are
// forgotten, parts that were in flight at crashes before need no more crashes than others to be quarantined.
const maxHistory = 4096

// processCrash is the crash of a process.
type processCrash struct {
	process discoverer.Name
	at      time.Time
}

// history holds the crashes of processes in order of time. The zero value is empty.
type history struct {
	crashes []processCrash
	known   map[discoverer.Name]bool
}

// add adds the crash of a process, unless it is known.
func (h *history) add(p discoverer.Name, at time.Time) {
	if h.known[p] {
		return
	}

	if h.known == nil {
		h.known = make(map[discoverer.Name]bool)
	}

	h.crashes = slices.Insert(h.crashes, h.search(at), processCrash{p, at})
	h.known[p] = true

	if len(h.crashes) > maxHistory {
		delete(h.known, h.crashes[0].process)
		h.crashes = h.crashes[1:]
	}
}

// exceeds reports whether a subject was not in flight at more crashes in a time than a limit, given its record.
func (h *history) exceeds(limit int, r *Record, from, to time.Time) bool {
	for _, p := range h.crashes[h.search(from):] {
		switch {
		case p.at.After(to) || limit < 0:
			return limit < 0
		case !slices.ContainsFunc(r.Crashes, func(e Crash) bool { return e.Process == p.process }):
			limit--
		}
	}

	return limit < 0
}

// search returns the index of the first crash that was not before a time.
func (h *history) search(t time.Time) int {
	i, _ := slices.BinarySearchFunc(h.crashes, t, func(a processCrash, t time.Time) int { return a.at.Compare(t) })

	return i
}
