//go:build review

package main

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// seal returns the proof that a server made an answer: it covers the server, the request and the whole body.
func seal(server, id string, body []byte) string {
	h := sha256.New()
	fmt.Fprintf(h, "%s|%s|%d|", server, id, len(body))
	h.Write(body)

	return fmt.Sprintf("%s.%d.%x", server, len(body), h.Sum(nil)[:8])
}

// answerBody returns the whole answer of a server to a request.
func answerBody(server, id string) []byte {
	var b bytes.Buffer

	for i := range answerLines {
		fmt.Fprintf(&b, "%s %s line %03d\n", server, id, i)
	}

	return b.Bytes()
}

// answerLines are the lines of an answer.
const answerLines = 20

// server is a stand-in of a server of the platform.
type server struct {
	id      string
	service string
	zone    string
	slots   int
	// work is how long a request takes, from its arrival to the end of its answer.
	work time.Duration
	// pause is the time between two events of a stream.
	pause time.Duration
	// unframed is the share of answers that have no length and end with their channel.
	unframed float64

	mu      sync.Mutex
	running int
}

// runServer runs one server until it is killed. It prints a line for each request that it begins to run.
func runServer(args []string) {
	f := flag.NewFlagSet("server", flag.ExitOnError)
	s := &server{}
	listen := f.String("listen", "", "address")
	storeAddress := f.String("store", "", "address of the store")

	f.StringVar(&s.id, "id", "", "ID")
	f.StringVar(&s.service, "service", "", "service")
	f.StringVar(&s.zone, "zone", "", "zone")
	f.IntVar(&s.slots, "slots", 6, "slots")
	f.DurationVar(&s.work, "work", 30*time.Millisecond, "time of a request")
	f.Float64Var(&s.unframed, "unframed", 0, "share of streams without a length")
	f.DurationVar(&s.pause, "pause", 60*time.Millisecond, "time between two events of a stream")
	_ = f.Parse(args)

	l, err := net.Listen("tcp", *listen)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCannotRun)
	}

	go s.register(*storeAddress, *listen)

	_ = (&http.Server{Handler: s, ReadHeaderTimeout: 10 * time.Second}).Serve(l)
}

// register writes the server's entry with each heartbeat.
func (s *server) register(storeAddress, listen string) {
	for n := 1; ; n++ {
		b, _ := json.Marshal(map[string]any{
			"service": s.service, "address": listen, "zone": s.zone, "version": "v1", "slots": s.slots,
			"state": "ready", "coldRemainingMs": 0, "sequence": n,
		})

		q, _ := http.NewRequest(http.MethodPut, "http://"+storeAddress+"/servers/"+s.id, bytes.NewReader(b))
		if r, err := http.DefaultClient.Do(q); err == nil {
			_, _ = io.Copy(io.Discard, r.Body)
			_ = r.Body.Close()
		}

		time.Sleep(heartbeat)
	}
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	h := w.Header()
	h.Set("X-Instance-Id", s.id)
	h.Set("X-Attempt-Id", id)

	if e := r.Header.Get("X-Expect-Instance"); e != "" && e != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)

		return
	}

	_, _ = io.Copy(io.Discard, r.Body)

	if !s.enter() {
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)

		return
	}
	defer s.leave()

	// One write of a line of a pipe is whole, also if the process is killed next.
	fmt.Printf("run %s %s %s tenant=%s\n", s.id, id, r.URL.Path, r.Header.Get("X-Tenant"))

	body := answerBody(s.id, id)
	h.Set("X-Response-Seal", seal(s.id, id, body))
	h.Set("X-Server-Load", s.load())

	if n, ok := events(r.Header); ok {
		h.Set("X-Response-Seal", seal(s.id, id, nil))
		s.stream(w, r, id, n)

		return
	}

	time.Sleep(s.work)

	h.Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}

// eventTokens are the tokens that an event of a stream holds.
const eventTokens = 6

// events returns how many events the whole answer to a request has, and false if it is no stream.
func events(h http.Header) (int, bool) {
	_, out, ok := strings.Cut(h.Get("X-Token-Usage"), ",")
	n, err := strconv.Atoi(out)

	return n / eventTokens, ok && err == nil
}

// stream sends the events of a stream, those after Last-Event-Id.
func (s *server) stream(w http.ResponseWriter, r *http.Request, id string, n int) {
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	send := func(b string) bool {
		_, err := io.WriteString(w, b)
		_ = http.NewResponseController(w).Flush()

		return err == nil
	}

	w.Header().Set("Content-Type", "text/event-stream")

	unframed := rand.Float64() < s.unframed
	if unframed {
		fmt.Printf("unframed %s %s\n", s.id, id)

		c := hijack(w)
		defer c.Close()

		send = func(b string) bool {
			_, err := io.WriteString(c, b)

			return err == nil
		}
	}

	for i := last + 1; i <= n; i++ {
		time.Sleep(s.pause)

		if !send(fmt.Sprintf("id: %d\ndata: %s %d of %d\n\n", i, id, i, n)) {
			return
		}
	}
}

// hijack takes over the channel of an answer and sends its status and headers, without a length.
func hijack(w http.ResponseWriter) net.Conn {
	h := w.Header()

	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(err)
	}

	var b strings.Builder

	b.WriteString("HTTP/1.1 200 OK\r\nConnection: close\r\n")

	for k := range h {
		fmt.Fprintf(&b, "%s: %s\r\n", k, h.Get(k))
	}

	b.WriteString("\r\n")

	_, _ = io.WriteString(c, b.String()) // The next write fails too.

	return c
}

// enter takes a slot for a request, and reports whether there is one.
func (s *server) enter() bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.running >= s.slots {
		return false
	}

	s.running++

	return true
}

func (s *server) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.running--
}

func (s *server) load() string {
	s.mu.Lock()
	defer s.mu.Unlock()

	return fmt.Sprintf("%d,0,%d", s.running, s.slots)
}
