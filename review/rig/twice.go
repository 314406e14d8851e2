//go:build review

package main

import (
	"time"
)

const (
	// twiceStreams is how many streams run.
	twiceStreams = 6
	// twiceOverlap is how long the server before may still work on a request that goes on at another.
	twiceOverlap = 400 * time.Millisecond
)

// playTwice has a server make no events for 1.4 s. It goes on with a request whose channel is closed, as some servers do. Rule TWICE: no
// request goes on at another server while the server before still works on it 400 ms later.
func playTwice(r *rig, trouble bool) (bool, error) {
	servers, err := r.startPause(pauseSlots, 0, true)
	if err != nil {
		return false, err
	}

	o := &pauseClients{rig: r, answers: make(map[string]answer)}
	o.begin(0, twiceStreams)

	if trouble {
		time.Sleep(pauseStop)

		s := busiest(servers)
		r.logf("server %s makes no events for %s", s.id, pauseSilence)
		s.silence(time.Now(), pauseSilence)
	}

	o.running.Wait()

	// A server may still work on what others have taken over.
	time.Sleep(pauseSilence + pauseEvents*pauseInterval)

	return r.judgeTwice(o.answers, servers), nil
}

// judgeTwice writes the record and reports whether the rule was broken.
func (r *rig) judgeTwice(l map[string]answer, servers []*server) bool {
	runs := make(map[string][]arrival)

	r.logf("servers:")

	for _, s := range servers {
		for _, a := range s.seen() {
			r.logf("  %s: request %s arrived at %.3f: %s until %.3f", s.id, a.id, r.since(a.at), a.outcome, r.since(a.ended))

			if !a.ended.IsZero() {
				runs[a.id] = append(runs[a.id], a)
			}
		}
	}

	r.logf("clients:")

	for id, a := range l {
		r.logf("  request %s sent at %.3f, ended at %.3f: status %d, %d of %d events, longest pause %s, error %v",
			id, r.since(a.sent), r.since(a.ended), a.status, a.events, pauseEvents, a.longestPause.Round(time.Millisecond), a.err)
	}

	broken := 0

	for id, x := range runs {
		for _, a := range x {
			for _, b := range x {
				if b.at.After(a.at) && a.ended.After(b.at.Add(twiceOverlap)) {
					broken++
					r.logf("request %s went on at another server at %.3f, and the server before worked on it for %s longer", id, r.since(b.at), a.ended.Sub(b.at).Round(time.Millisecond))
				}
			}
		}
	}

	r.logf("%d requests ran at two servers at a time", broken)

	return broken > 0
}
