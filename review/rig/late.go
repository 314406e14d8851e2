//go:build review

package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	drainTime = 2 * time.Second
	// heldUp is how long after a cut of a path a request that comes by it is not late.
	heldUp = 3 * time.Second
	// lateCut is how long the path to a server is cut. The server reports that it drains as soon as it reaches the store again, and serves
	// for drainMs and lateLinger more.
	lateCut    = 3100 * time.Millisecond
	lateReport = 300 * time.Millisecond
	lateLinger = 4 * time.Second
	// lateServers is how many servers there are: one of them is a share of 0.2.
	lateServers = 5
	// lateClients is how many clients each instance has, and latePause the time between two requests of a client.
	lateClients = 24
	latePause   = 150 * time.Millisecond
)

// playLate cuts the path to a server, which leaves as the cut ends. Rule DRAIN: no request reaches a server later than drainMs after the
// store has acknowledged that it leaves, unless its path was cut in the last 3 s.
func playLate(r *rig, trouble bool) (bool, error) {
	if err := r.configure(1, []string{"lookups"}, []map[string]any{{
		"name": "lookup", "host": host, "pathPrefix": "/lookup/", "kind": "idempotent", "service": "lookups", "maxAttempts": 2,
		"timeoutMs": 3000, "targetLatencyMs": 1000, "priority": 1,
	}}); err != nil {
		return false, err
	}

	var (
		servers []*server
		paths   []*proxy
	)

	for i := range lateServers {
		const slots, zones = 64, 3

		s := &server{id: fmt.Sprintf("i-%d", i+1), service: "lookups", zone: string(rune('a' + i%zones)), slots: slots, work: 100 * time.Millisecond}

		p, err := r.newServerBehind(s)
		if err != nil {
			return false, err
		}

		servers, paths = append(servers, s), append(paths, p)
	}

	if err := r.startGateways("a", "b", "c"); err != nil {
		return false, err
	}

	time.Sleep(settleTime)

	stop := r.lookups()
	defer stop()

	time.Sleep(drainTime)

	if !trouble {
		time.Sleep(lateCut + lateReport + drainTime + lateLinger)

		return false, nil
	}

	r.logf("the path to server i-1 is cut for %s", lateCut)

	healed, err := paths[0].cut(lateCut)
	if err != nil {
		return false, err
	}

	r.logf("the path to server i-1 is open")
	time.Sleep(lateReport)

	if err := servers[0].register("draining"); err != nil {
		return false, err
	}

	acknowledged := time.Now()
	r.logf("server i-1 leaves: acknowledged")
	time.Sleep(drainTime + lateLinger)

	return r.judgeLate(servers, healed, acknowledged), nil
}

// lookups starts the clients, and returns a function that stops them.
func (r *rig) lookups() (stop func()) {
	var (
		clients sync.WaitGroup
		ends    atomic.Bool
		served  atomic.Int64
		failed  atomic.Int64
	)

	for n, g := range r.gateways {
		for c := range lateClients {
			clients.Go(func() {
				k := newClient()

				for i := 0; !ends.Load(); i++ {
					x := request{id: fmt.Sprintf("%d-%02d-%d", n, c, i), path: "/lookup/x", body: "lookup", deadline: 3 * time.Second}

					v := send(k, g, x)
					r.logf("request %s sent at %.3f: status %d at %.3f, error %v", v.id, r.since(v.sent), v.status, r.since(v.ended), v.err)

					if v.status == http.StatusOK {
						served.Add(1)
					} else {
						failed.Add(1)
					}

					time.Sleep(latePause)
				}
			})

			time.Sleep(latePause / lateClients)
		}
	}

	return func() {
		ends.Store(true)
		clients.Wait()
		r.logf("%d requests were served, %d not", served.Load(), failed.Load())
	}
}

// judgeLate writes the record and reports whether the rule was broken.
func (r *rig) judgeLate(l []*server, healed, acknowledged time.Time) bool {
	late := 0

	for _, a := range l[0].seen() {
		if a.at.Sub(acknowledged) <= drainTime || a.at.Sub(healed) <= heldUp || a.outcome == "misdirected" {
			continue
		}

		late++

		r.logf("request %s reached server i-1 at %.3f, %.3f s after its leaving was acknowledged and %.3f s after the cut: %s",
			a.id, r.since(a.at), a.at.Sub(acknowledged).Seconds(), a.at.Sub(healed).Seconds(), a.outcome)

		for _, s := range l[1:] {
			for _, b := range s.seen() {
				if b.id == a.id {
					r.logf("  it had run at server %s at %.3f: %s", s.id, r.since(b.at), strings.TrimSpace(b.outcome))
				}
			}
		}
	}

	r.logRuns(l)
	r.logf("%d requests reached the leaving server too late", late)

	return late > 0
}
