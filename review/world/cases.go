//go:build review

package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	key     = "n2ctnfzs989anu6wsjnb"
	tenants = `[{"name":"hule930","apiKeys":["n2ctnfzs989anu6wsjnb"]}]`
	// llm are the model servers, and app is the plain service.
	llm = "huvo11a"
	app = "wuno96b"
)

// config returns a configuration with a route to each service.
func config(version int, tenants string) []byte {
	return fmt.Appendf(nil, `{"version":%d,"routes":[
 {"name":"r-chat","host":"ficu95.example","pathPrefix":"/lohu930/","kind":"streaming","timeoutMs":15000,"targetLatencyMs":600,"priority":0,"service":"huvo11a","maxAttempts":2,"public":false,"sessionAffinity":true,"streamResume":true,"gapAimMs":250},
 {"name":"r-book","host":"ficu95.example","pathPrefix":"/puxa403/","kind":"non_idempotent","timeoutMs":1500,"targetLatencyMs":150,"priority":0,"service":"wuno96b","maxAttempts":2,"public":false}],
 "services":[{"name":"huvo11a","healthPath":"/health","maxConns":610,"protocol":"h1","tls":false},{"name":"wuno96b","healthPath":"/health","maxConns":96,"protocol":"h1","tls":false}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
 "tenants":%s}`, version, tenants)
}

// booking is a request that must not be repeated.
func booking(key string) request {
	return request{method: "POST", path: "/puxa403/2f", key: key, deadline: 1500 * time.Millisecond}
}

// spread is the time over which clients begin, and begin again after a channel that broke.
const spread = time.Second

// clients sends requests through all gateways from n clients until stop is closed, and passes each answer to judge.
func (w *world) clients(n int, pause time.Duration, stop chan struct{}, next func() request, judge func(answer)) *sync.WaitGroup {
	var g sync.WaitGroup

	for i := range n {
		g.Go(func() {
			c, to := newClient(), w.gateways[i%len(w.gateways)]
			wait := rand.N(spread)

			for {
				select {
				case <-stop:
					return
				case <-time.After(wait):
				}

				wait = pause
				a := w.send(c, to, next())
				w.logf("client: %s sent to %s %d ms ago, answered %d with %d bytes, error %v",
					a.id, to.name, time.Since(a.sentAt).Milliseconds(), a.status, len(a.body), a.err)
				judge(a)

				if a.err != nil {
					wait = rand.N(spread)
				}
			}
		})
	}

	return &g
}

// attempts are the answers that clients got. They are judged when the case is over, since a server's line may arrive after the
// client's answer.
type attempts struct {
	mu sync.Mutex
	l  []answer
}

func (a *attempts) add(x answer) {
	a.mu.Lock()
	defer a.mu.Unlock()

	a.l = append(a.l, x)
}

// settle waits until the lines of all servers have arrived.
func settle() { time.Sleep(time.Second) }

// requireServed fails a case that served too few requests to show anything.
func requireServed(n int) {
	if n < 200 {
		panic(cannotRun{fmt.Errorf("only %d requests served", n)})
	}
}

// streamEvents is how many events the whole answer to a chat has.
const streamEvents = 42

// chat is a request that is answered with a stream, which may be resumed.
func chat() request {
	subject := rand.IntN(24)

	return request{
		method: "POST", path: "/lohu930/2f", key: key, deadline: 15 * time.Second,
		header: map[string]string{
			"X-Model": "m", "X-Token-Usage": fmt.Sprintf("1460,%d", streamEvents*eventTokens),
			"X-Prompt-Prefix": fmt.Sprintf("5c1e07a2:800,%08x:410,%08x:250", 0x91bd3f00+subject, rand.Uint32()),
		},
	}
}

// downTime is how long crashed servers are down.
const downTime = 2 * time.Second

// unframedShare is the share of streams without a length at the model servers of the last two zones, four of nine; at the
// others it is zero.
const unframedShare = 0.05

// startZone starts the servers of a zone: two or three of nine model servers, and one of four plain ones. Each start has new IDs.
func (w *world) startZone(zone int, boot string) []*process {
	var (
		o        []*process
		unframed float64
	)

	if zone >= len(zones)/2 {
		unframed = unframedShare
	}

	for i := range 9 {
		if (i+1)%len(zones) == zone {
			o = append(o, w.startServer(fmt.Sprintf("i-llm-%d%s", i, boot), zones[zone], llm, i, "-slots", "128", "-unframed", fmt.Sprint(unframed)))
		}
	}

	return append(o, w.startServer(fmt.Sprintf("i-app-%d%s", zone, boot), zones[zone], app, 20+zone))
}

// crashedZone: the servers of one zone crash at once and come back, and later those of another; those of each service are a
// quarter of it at most.
func crashedZone(w *world) bool {
	w.store.put("keyed.op", "config", config(7, tenants))

	servers := make(map[int][]*process)

	for i := range zones {
		servers[i] = w.startZone(i, "")
	}

	time.Sleep(500 * time.Millisecond)
	w.startGateways(len(zones))

	var l attempts

	stop := make(chan struct{})
	g := w.clients(400, 20*time.Millisecond, stop, chat, l.add)

	for _, z := range []int{2, 3} {
		time.Sleep(6 * time.Second)

		if !w.trouble {
			continue
		}

		for _, p := range servers[z] {
			must(p.cmd.Process.Kill())
		}

		for _, p := range servers[z] {
			w.logf("crash: SIGKILL to %s in %s", p.name, zones[z])
		}

		time.Sleep(downTime)
		w.startZone(z, "-again")
		w.logf("the servers of %s start again", zones[z])
	}

	time.Sleep(4 * time.Second)
	close(stop)
	g.Wait()
	settle()

	whole, broken, short := 0, 0, 0

	for _, a := range l.l {
		ids := eventIDs(a.body)

		switch {
		case a.status != 200 || a.err != nil:
			broken++
		case consecutive(ids) && len(ids) == streamEvents:
			whole++
		default:
			short++
			w.logf("BROKEN (ORDER): the stream of %s ended as complete after event %d of %d; it ran at %v", a.id, len(ids), streamEvents, w.runsOf(a.id))
		}
	}

	w.report("streams %d, whole %d, without a complete answer %d, complete for the client before their last event %d", len(l.l), whole, broken, short)
	requireServed(whole)

	return short > 0
}

// eventIDs returns the IDs of the events in the body of a stream.
func eventIDs(b []byte) []int {
	var o []int

	for _, l := range strings.Split(string(b), "\n") {
		if t, ok := strings.CutPrefix(l, "id: "); ok {
			n, _ := strconv.Atoi(t)
			o = append(o, n)
		}
	}

	return o
}

// consecutive reports whether IDs are 1, 2, 3 and so on.
func consecutive(l []int) bool {
	for i, n := range l {
		if n != i+1 {
			return false
		}
	}

	return true
}

// report prints a line and adds it to the record.
func (w *world) report(format string, a ...any) {
	w.logf(format, a...)
	fmt.Printf(format+"\n", a...)
}

const (
	// memoryLimit is limits.memoryMb of the settings: a process that exceeds it is killed.
	memoryLimit = 284 << 20
	// steadyClients and burstClients are the clients of a gateway, each with one chat at a time; the factor is 1.7.
	steadyClients = 52
	burstClients  = 88
	// longBody is the body of a chat, less than half of limits.maxBodyBytes.
	longBody = 1_650_000
	// bursts is how often many users come at once, for burstTime each.
	bursts    = 4
	burstTime = 3 * time.Second
	// bookingClients are the clients of a gateway that send one booking after the other.
	bookingClients = 10
	// lostAllowed is how many requests of kept channels may be left without an answer.
	lostAllowed = 3
)

// longBodies: many users come at once, each with a chat of a long body, and the platform kills processes that exceed their memory.
func longBodies(w *world) bool {
	w.store.put("keyed.op", "config", config(7, tenants))

	for i := range 9 {
		w.startServer(fmt.Sprintf("i-llm-%d", i), zones[i%len(zones)], llm, i, "-slots", "128")
	}

	for i, z := range zones {
		w.startServer(fmt.Sprintf("i-app-%d", i), z, app, 20+i)
	}

	time.Sleep(500 * time.Millisecond)
	w.startGateways(2)

	var l, bookings attempts

	stop := make(chan struct{})
	ends, peaks := make([]int, len(w.gateways)), make([]int, len(w.gateways))

	var machines sync.WaitGroup
	for i := range w.gateways {
		machines.Go(func() { w.limitMemory(i, stop, &ends[i], &peaks[i]) })
	}

	body := bytes.Repeat([]byte("a photograph "), longBody/len("a photograph "))
	next := func() request {
		o := chat()
		o.body = body

		return o
	}

	g := w.clients(steadyClients*len(w.gateways), 50*time.Millisecond, stop, next, l.add)
	b := w.clients(bookingClients*len(w.gateways), 50*time.Millisecond, stop, func() request { return booking(key) }, bookings.add)

	for range bursts {
		time.Sleep(5 * time.Second)

		if !w.trouble {
			continue
		}

		w.logf("burst: %d clients more at each gateway for %v", burstClients-steadyClients, burstTime)

		end := make(chan struct{})
		h := w.clients((burstClients-steadyClients)*len(w.gateways), 50*time.Millisecond, end, next, l.add)

		time.Sleep(burstTime)
		close(end)
		h.Wait()
	}

	time.Sleep(3 * time.Second)
	close(stop)
	g.Wait()
	b.Wait()
	machines.Wait()
	settle()

	for i, n := range ends {
		w.report("%s: killed for its memory %d times, most memory %d of %d MB", w.gateways[i].name, n, peaks[i]>>20, memoryLimit>>20)
	}

	whole, cut, lost := 0, 0, 0

	for _, a := range append(l.l, bookings.l...) {
		ran := len(w.runsOf(a.id)) > 0

		switch {
		case a.err == nil && a.status == 200:
			whole++
		case ran && a.status != 0:
			cut++
		case ran && a.kept && !errors.Is(a.err, context.DeadlineExceeded):
			lost++
			w.logf("BROKEN (LOST): %s, sent on a kept channel, has run at %v and got no answer: %v", a.id, w.runsOf(a.id), a.err)
		}
	}

	w.report("chats %d, bookings %d, answered whole %d, chats cut off in their answer %d, run on a kept channel that closed without an answer %d",
		len(l.l), len(bookings.l), whole, cut, lost)
	requireServed(whole)

	return lost > lostAllowed
}

// limitMemory kills a gateway's process that exceeds its memory and starts it again after a short delay, as the platform does.
func (w *world) limitMemory(i int, stop chan struct{}, ends, peak *int) {
	p := w.gateways[i]

	for {
		select {
		case <-stop:
			return
		case <-time.After(5 * time.Millisecond):
		}

		n := ownMemory(p.cmd.Process.Pid)
		*peak = max(*peak, n)

		if n <= memoryLimit {
			continue
		}

		*ends++
		w.logf("memory: %s has %d MB, more than %d, and is killed", p.name, n>>20, memoryLimit>>20)

		_ = p.cmd.Process.Kill()
		<-p.ended

		time.Sleep(300 * time.Millisecond)

		p = w.startGateway(i)

		w.mu.Lock()
		w.gateways[i] = p
		w.mu.Unlock()
	}
}

// ownMemory returns the memory of a process in bytes, without the files that it has mapped.
func ownMemory(pid int) int {
	b, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))

	for _, l := range strings.Split(string(b), "\n") {
		if f := strings.Fields(l); len(f) > 1 && f[0] == "RssAnon:" {
			n, _ := strconv.Atoi(f[1])

			return n << 10
		}
	}

	return 0
}

// configApply is the time within which a version has to be in force.
const configApply = 2 * time.Second

// lastTenant: the operator takes away the only key of the only tenant, and the tenant with it.
func lastTenant(w *world) bool {
	w.store.put("keyed.op", "config", config(7, tenants))

	for i := range 4 {
		w.startServer(fmt.Sprintf("i-app-%d", i), zones[i], app, i)
	}

	time.Sleep(500 * time.Millisecond)
	w.startGateways(2)

	var l, strangers attempts

	stop := make(chan struct{})
	g := w.clients(8, 20*time.Millisecond, stop, func() request { return booking(key) }, l.add)
	h := w.clients(4, 50*time.Millisecond, stop, func() request { return booking("a-key-of-nobody") }, strangers.add)

	time.Sleep(4 * time.Second)

	var acked time.Time

	if w.trouble {
		w.store.put("keyed.op", "config", config(9, `[]`))

		acked = time.Now()
		w.logf("operator: version 9, without the tenant and its key, is acknowledged")
	}

	time.Sleep(5 * time.Second)
	close(stop)
	g.Wait()
	h.Wait()
	settle()

	served, revoked, foreign := 0, 0, 0

	for _, a := range l.l {
		if a.status == 200 {
			served++
		}

		if !acked.IsZero() && a.sentAt.Sub(acked) > configApply && len(w.runsOf(a.id)) > 0 {
			revoked++
			w.logf("BROKEN (CONFIG): %s, sent with the key that was taken away %v before, was answered %d and has run", a.id, a.sentAt.Sub(acked), a.status)
		}
	}

	for _, a := range strangers.l {
		if r := w.runsOf(a.id); len(r) > 0 {
			foreign++
			w.logf("BROKEN (ROUTE): %s, sent with a key that no configuration ever held, was answered %d and has run at %v", a.id, a.status, r)
		}
	}

	w.report("requests with the tenant's key %d, served %d, run later than %v after it was taken away %d; with a key of nobody %d, run %d",
		len(l.l), served, configApply, revoked, len(strangers.l), foreign)
	requireServed(served)

	return foreign > 0
}
