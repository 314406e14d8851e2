//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// versionStreams is how many streams run through the instance that freezes, and versionNew how many begin at the others meanwhile.
	versionStreams, versionNew = 24, 24
	versionServers             = 6
	versionEvents              = 80
	versionInterval            = 100 * time.Millisecond
	versionTimeout             = 15 * time.Second
	// versionFreeze is how long the instance stands still, and versionJoin how much later than its beginning servers of a newer version
	// appear.
	versionFreeze = 4 * time.Second
	versionJoin   = 1200 * time.Millisecond
	// versionGap is the time between two replacements.
	versionGap = time.Second
	// versionPatience is the gap after which clients abandon a stream and take it up at another instance.
	versionPatience = 2 * time.Second
	// versionTries is how often a client takes up a stream, and versionPause the time between two tries.
	versionTries = 3
	versionPause = 200 * time.Millisecond
	// versionLeast is the least number of streams taken up that the rule counts.
	versionLeast = 12
)

// playVersions freezes an instance. While it stands still servers are replaced by those of a newer version, and the clients of its streams
// take these up at other instances. Rule LOST: of 12 or more streams that clients take up while two servers of their version serve, at
// least half as large a share goes on as of new streams begins.
func playVersions(r *rig, trouble bool) (bool, error) {
	servers, err := r.startVersions()
	if err != nil {
		return false, err
	}

	v := &versionClients{rig: r}

	for i := range versionStreams {
		v.running.Go(func() { v.stream(i) })
	}

	time.Sleep(time.Second)

	v.running.Go(func() {
		time.Sleep(versionPatience)

		for i := range versionNew {
			v.running.Go(func() { v.begin(i) })

			time.Sleep(versionInterval)
		}
	})

	if trouble {
		if err := v.freeze(servers); err != nil {
			return false, err
		}
	}

	v.running.Wait()
	r.logRuns(append(servers, v.joined...))

	return v.judge(), nil
}

// startVersions starts three instances, and servers of one version.
func (r *rig) startVersions() ([]*server, error) {
	if err := r.configure(1, []string{"assistant"}, []map[string]any{{
		"name": "review", "host": host, "pathPrefix": "/review/", "kind": "streaming", "service": "assistant", "streamResume": true,
		"maxAttempts": 2, "timeoutMs": versionTimeout.Milliseconds(), "targetLatencyMs": 500, "gapAimMs": 250, "priority": 0, "sessionAffinity": true,
	}}); err != nil {
		return nil, err
	}

	var servers []*server

	for i := range versionServers {
		s, err := r.newServer(r.versionServer(i, "v1"))
		if err != nil {
			return nil, err
		}

		servers = append(servers, s)
	}

	if err := r.startGateways("a", "b", "c"); err != nil {
		return nil, err
	}

	// Instances that have run for 20 s know all versions that were in use.
	const settled = 24 * time.Second

	time.Sleep(settled)

	return servers, nil
}

func (r *rig) versionServer(i int, version string) *server {
	const slots, zones = 64, 3

	return &server{
		id: fmt.Sprintf("i-%s-%d", version, i+1), service: "assistant", zone: string(rune('a' + i%zones)), version: version, slots: slots,
		work: 20 * time.Millisecond, eventPause: versionInterval,
	}
}

// freeze has the first instance stand still, half of the servers are replaced by those of a newer version, one after the other.
func (v *versionClients) freeze(servers []*server) error {
	r := v.rig

	if err := r.signal(r.gateways[0], syscall.SIGSTOP); err != nil {
		return err
	}

	time.AfterFunc(versionFreeze, func() { _ = r.signal(r.gateways[0], syscall.SIGCONT) })
	time.Sleep(versionJoin)

	for i := range versionServers / 2 {
		s, err := r.newServer(r.versionServer(i, "v2"))
		if err != nil {
			return err
		}

		v.joined = append(v.joined, s)

		r.logf("server %s of version v2 is ready", s.id)

		if err := servers[i].register("draining"); err != nil {
			return err
		}

		r.logf("server %s of version v1 leaves; it serves what it has", servers[i].id)
		time.Sleep(versionGap)
	}

	return nil
}

// versionClients are the clients of the case.
type versionClients struct {
	rig *rig
	// joined are the servers of the newer version.
	joined  []*server
	running sync.WaitGroup

	mu sync.Mutex
	// takenUp and goneOn count the streams that were taken up, and those of them that went on; begun those of the new ones that began.
	takenUp, goneOn, begun int
}

// stream sends a request to the instance that freezes, and takes its stream up at others.
func (v *versionClients) stream(i int) {
	x := request{
		id: fmt.Sprintf("0-%02d", i), path: fmt.Sprintf("/review/%d", i), body: "review", deadline: versionTimeout, events: versionEvents,
		chat: fmt.Sprintf("%x", 1000+i), patience: versionPatience,
	}
	a := send(newClient(), v.rig.gateways[0], x)
	v.rig.logf("request %s sent at %.3f, ended at %.3f: status %d, event %s, whole %t, error %v", x.id, v.rig.since(a.sent), v.rig.since(a.ended), a.status, a.last, a.whole, a.err)

	if a.whole || a.status != http.StatusOK || a.last == "" {
		return
	}

	first, last, goneOn := x.id, a.last, false

	for n := range versionTries {
		x.id, x.resumes, x.last = fmt.Sprintf("%s-%d", first, n+1), first, last
		a = send(newClient(), v.rig.gateways[1+(i+n)%2], x)
		v.rig.logf("request %s takes up %s after event %s at %.3f, ended at %.3f: status %d, event %s, whole %t, error %v",
			x.id, first, last, v.rig.since(a.sent), v.rig.since(a.ended), a.status, a.last, a.whole, a.err)

		if goneOn = a.status == http.StatusOK && a.events > 0; goneOn {
			break
		}

		time.Sleep(versionPause)
	}

	v.mu.Lock()
	defer v.mu.Unlock()

	v.takenUp++

	if goneOn {
		v.goneOn++
	}
}

// begin sends a request to one of the other instances.
func (v *versionClients) begin(i int) {
	x := request{
		id: fmt.Sprintf("%d-%02d", 1+i%2, i), path: fmt.Sprintf("/review/%d", 100+i), body: "review", deadline: versionTimeout, events: versionEvents / 10,
		chat: fmt.Sprintf("%x", 2000+i), patience: versionPatience,
	}
	a := send(newClient(), v.rig.gateways[1+i%2], x)
	v.rig.logf("request %s sent at %.3f, ended at %.3f: status %d, event %s, whole %t, error %v", x.id, v.rig.since(a.sent), v.rig.since(a.ended), a.status, a.last, a.whole, a.err)

	v.mu.Lock()
	defer v.mu.Unlock()

	if a.status == http.StatusOK && a.events > 0 {
		v.begun++
	}
}

// judge reports whether the rule was broken.
func (v *versionClients) judge() bool {
	v.rig.logf("%d of %d streams that were taken up went on, %d of %d new ones began", v.goneOn, v.takenUp, v.begun, versionNew)

	return v.takenUp >= versionLeast && 2*v.goneOn*versionNew < v.begun*v.takenUp
}
