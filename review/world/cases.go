//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
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

// clients sends requests through all gateways from n clients until stop is closed, and passes each answer to judge.
func (w *world) clients(n int, pause time.Duration, stop chan struct{}, next func() request, judge func(answer)) *sync.WaitGroup {
	var g sync.WaitGroup

	for i := range n {
		g.Go(func() {
			c, to := newClient(), w.gateways[i%len(w.gateways)]

			for {
				select {
				case <-stop:
					return
				case <-time.After(pause):
				}

				a := w.send(c, to, next())
				w.logf("client: %s sent to %s %d ms ago, answered %d with %d bytes, error %v",
					a.id, to.name, time.Since(a.sentAt).Milliseconds(), a.status, len(a.body), a.err)
				judge(a)
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

// crashedZone: the servers of one zone crash at once, first those of one, later those of another; those of each service are a
// quarter of it at most. One in twenty of the streams of the model servers has no length and ends with its channel.
func crashedZone(w *world) bool {
	w.store.put("keyed.op", "config", config(7, tenants))

	servers := make(map[string][]*process)

	for i := range 9 {
		z := zones[(i+1)%len(zones)]
		servers[z] = append(servers[z], w.startServer(fmt.Sprintf("i-llm-%d", i), z, llm, i, "-slots", "128", "-unframed", "0.05"))
	}

	for i, z := range zones {
		servers[z] = append(servers[z], w.startServer(fmt.Sprintf("i-app-%d", i), z, app, 20+i))
	}

	time.Sleep(500 * time.Millisecond)
	w.startGateways(len(zones))

	var l attempts

	stop := make(chan struct{})
	g := w.clients(400, 20*time.Millisecond, stop, chat, l.add)

	for _, z := range []string{"apapa", "yaba"} {
		time.Sleep(6 * time.Second)

		if !w.trouble {
			continue
		}

		for _, p := range servers[z] {
			must(p.cmd.Process.Kill())
		}

		for _, p := range servers[z] {
			w.logf("crash: SIGKILL to %s in %s", p.name, z)
		}
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

// ranAndRefused: one of eight servers fails a third of its requests after it has run them, with a status that does not say that
// the request was not run: there is no X-Not-Executed.
func ranAndRefused(w *world) bool {
	w.store.put("keyed.op", "config", config(7, tenants))

	for i := range 8 {
		var flags []string
		if w.trouble && i == 0 {
			flags = []string{"-fail-status", "429", "-fail-every", "3"}
		}

		w.startServer(fmt.Sprintf("i-app-%d", i), zones[i%len(zones)], app, i, flags...)
	}

	time.Sleep(500 * time.Millisecond)
	w.startGateways(2)

	var l attempts

	stop := make(chan struct{})
	g := w.clients(12, 20*time.Millisecond, stop, func() request { return booking(key) }, l.add)

	time.Sleep(6 * time.Second)
	close(stop)
	g.Wait()
	settle()

	served, untrue := 0, 0

	for _, a := range l.l {
		switch a.status {
		case 200:
			served++
		case 408, 421, 429, 503:
			if r := w.runsOf(a.id); len(r) > 0 {
				untrue++
				w.logf("BROKEN (REFUSED): %s, not idempotent, was answered %d and has run at %v", a.id, a.status, r)
			}
		}
	}

	w.report("requests %d, served %d, answered 408, 421, 429 or 503 and run %d", len(l.l), served, untrue)
	requireServed(served)

	return untrue > 0
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
