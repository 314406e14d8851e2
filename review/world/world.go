//go:build review

package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// world is the surroundings of the gateways: store, servers, operator and record.
type world struct {
	dir    string
	self   string
	prefix string
	// trouble is false if the case is played without its disruption.
	trouble bool
	store   *store
	address string
	// command is that of the deploy file.
	command []string

	mu       sync.Mutex
	record   *bufio.Writer
	began    time.Time
	runs     map[string][]string
	procs    []*process
	gateways []*process
}

// process is a process that the case started.
type process struct {
	name  string
	ip    string
	cmd   *exec.Cmd
	ended chan struct{}
}

// cannotRun is the panic of a case that can't run.
type cannotRun struct{ err error }

func must(err error) {
	if err != nil {
		panic(cannotRun{err})
	}
}

// runCase plays a case and returns its exit code. It ends all processes that the case started.
func runCase(folder string, play func(w *world) bool) (code int) {
	w := &world{trouble: os.Getenv("TROUBLE") != "0", runs: make(map[string][]string), began: time.Now()}

	defer func() {
		w.endAll()

		if e := recover(); e != nil {
			x, ok := e.(cannotRun)
			if !ok {
				panic(e)
			}

			fmt.Fprintln(os.Stderr, "the case could not run:", x.err)

			code = exitCannotRun
		}

		if w.dir != "" {
			_ = os.RemoveAll(w.dir)
		}
	}()

	var err error

	w.self, err = os.Executable()
	must(err)
	w.dir, err = os.MkdirTemp("", "review-")
	must(err)

	f, err := os.Create(filepath.Join(folder, "record.txt"))
	must(err)

	w.record = bufio.NewWriter(f)

	defer func() {
		w.mu.Lock()
		defer w.mu.Unlock()

		_ = w.record.Flush()
		_ = f.Close()
		w.record = nil
	}()

	w.prefix = fmt.Sprintf("127.%d.%d.", 60+rand.IntN(60), 1+rand.IntN(250))
	w.startStore()

	broken := play(w)
	w.logf("TROUBLE=%v, rule broken: %v", w.trouble, broken)
	fmt.Printf("trouble %v, rule broken: %v\n", w.trouble, broken)

	if broken {
		return exitBroken
	}

	return exitHeld
}

// logf adds a line to the record.
func (w *world) logf(format string, a ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()

	if w.record != nil {
		fmt.Fprintf(w.record, "%8.3f s  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, a...))
	}
}

func (w *world) startStore() {
	w.address = w.prefix + "200:8223"
	w.store = newStore()

	l, err := net.Listen("tcp", w.address)
	must(err)

	go func() { _ = http.Serve(l, w.store) }()
}

// start starts a process and reads the lines that it prints.
func (w *world) start(name, ip string, env []string, line func(string), args ...string) *process {
	c := exec.Command(args[0], args[1:]...)
	c.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + w.dir, "LANG=C"}, env...)
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}

	o, err := c.StdoutPipe()
	must(err)

	c.Stderr = c.Stdout
	must(c.Start())

	p := &process{name: name, ip: ip, cmd: c, ended: make(chan struct{})}

	go func() {
		for s := bufio.NewScanner(o); s.Scan(); {
			line(s.Text())
		}

		_ = c.Wait()

		close(p.ended)
	}()

	w.mu.Lock()
	defer w.mu.Unlock()

	w.procs = append(w.procs, p)

	return p
}

// startServer starts a server at an IP number of its own.
func (w *world) startServer(id, zone, service string, n int, flags ...string) *process {
	ip := fmt.Sprintf("%s%d", w.prefix, 100+n)
	args := append([]string{w.self, "server", "-id", id, "-zone", zone, "-service", service, "-listen", ip + ":8463", "-store", w.address}, flags...)

	return w.start(id, ip, nil, func(l string) {
		w.logf("server: %s", l)

		if f := strings.Fields(l); len(f) > 3 && f[0] == "run" {
			w.mu.Lock()
			defer w.mu.Unlock()

			w.runs[f[2]] = append(w.runs[f[2]], f[1])
		}
	}, args...)
}

// runsOf returns the servers that ran a request.
func (w *world) runsOf(id string) []string {
	w.mu.Lock()
	defer w.mu.Unlock()

	return append([]string(nil), w.runs[id]...)
}

// zones are the zones of the deployment.
var zones = []string{"ikeja", "lekki", "apapa", "yaba"}

// startGateways starts gateways with the command of the deploy file, one in each of the first n zones.
func (w *world) startGateways(n int) {
	b, err := os.ReadFile("deploy/system.toml")
	must(err)

	m := regexp.MustCompile(`(?m)^run = "([^"]*)"`).FindSubmatch(b)
	if m == nil {
		panic(cannotRun{fmt.Errorf("deploy/system.toml has no command")})
	}

	w.command = strings.Fields(string(m[1]))

	for i := range n {
		ip := fmt.Sprintf("%s%d", w.prefix, 1+i)
		must(os.WriteFile(w.settingsPath(i), []byte(w.settings(i, ip)), 0o600))
		w.gateways = append(w.gateways, w.startGateway(i))
	}

	for _, p := range w.gateways {
		w.awaitReady(p)
	}
}

func (w *world) settingsPath(i int) string {
	return filepath.Join(w.dir, fmt.Sprintf("settings-%d.toml", i))
}

// startGateway starts the gateway of a zone, or starts it again.
func (w *world) startGateway(i int) *process {
	name := "gateway-" + zones[i]

	return w.start(name, fmt.Sprintf("%s%d", w.prefix, 1+i), []string{"AUBURNTRAY_SETTINGS=" + w.settingsPath(i)}, func(l string) {
		if os.Getenv("VERBOSE") != "" {
			w.logf("%s: %s", name, l)
		}
	}, w.command...)
}

// settings returns the settings file of a gateway, as on the platform's page.
func (w *world) settings(i int, ip string) string {
	return fmt.Sprintf(`nodeName = "front-%[1]s-1"
role = "gateway"
machineClass = "front"
serves = ["front","control"]
ip = "%[2]s"
zone = "%[1]s"
region = "lagos"
internalPorts = [7340,7355]
seeds = ["%[3]s1:8229","%[3]s2:8229"]
bootstrap = true
lossCounts = false
discovery = "platform"
entry = "virtual_ip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"]
[zones]
ikeja = "lagos"
lekki = "lagos"
apapa = "lagos"
yaba = "lagos"
[listen]
front = "%[2]s:8227"
ready = "%[2]s:8220"
control = "%[2]s:8229"
[limits]
cpuShare = 0.4
cpuCores = 1
memoryMb = 284
maxFds = 4200
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 1
zones = 1
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
stabilityWindowMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lostMs = 200
configApplyMs = 2000
downgradeMs = 250
outerMs = 5000
revokeStrict = false
revokeMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 52
recoverS = 12
passMs = 120
againS = 10
capX = 2
[platform]
address = "%[4]s"
form = "log"
writesPerS = 400
readsPerS = 2000
`, zones[i], ip, w.prefix, w.address)
}

// awaitReady waits until a gateway reports that it is ready.
func (w *world) awaitReady(p *process) {
	for range 100 {
		r, err := http.Get("http://" + p.ip + ":8220/auburntray/ready")
		if err == nil {
			_ = r.Body.Close()

			if r.StatusCode == http.StatusOK {
				return
			}
		}

		time.Sleep(100 * time.Millisecond)
	}

	panic(cannotRun{fmt.Errorf("%s is not ready after 10 s", p.name)})
}

// endAll ends the processes that the case started.
func (w *world) endAll() {
	w.mu.Lock()
	gateways, procs := w.gateways, w.procs
	w.mu.Unlock()

	for _, p := range gateways {
		_ = p.cmd.Process.Signal(syscall.SIGTERM)
	}

	for _, p := range gateways {
		select {
		case <-p.ended:
		case <-time.After(9 * time.Second):
		}
	}

	for _, p := range procs {
		_ = p.cmd.Process.Kill()
		<-p.ended
	}
}

// answer is what a client got.
type answer struct {
	id     string
	sentAt time.Time
	status int
	seal   string
	body   []byte
	// kept reports whether the channel had carried a request before.
	kept bool
	err  error
}

// newID returns a new X-Attempt-Id.
func newID() string {
	return fmt.Sprintf("%016x", rand.Uint64())
}

// request is what a client sends.
type request struct {
	method, path, key string
	deadline          time.Duration
	header            map[string]string
	body              []byte
}

// send sends a request as a client, with a new ID, and returns the answer.
func (w *world) send(c *http.Client, g *process, o request) answer {
	x, stop := context.WithTimeout(context.Background(), o.deadline)
	defer stop()

	a := answer{id: newID(), sentAt: time.Now()}

	x = httptrace.WithClientTrace(x, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { a.kept = i.Reused }})

	q, err := http.NewRequestWithContext(x, o.method, "http://"+g.ip+":8227"+o.path, bytes.NewReader(o.body))
	must(err)

	q.Host = "ficu95.example"
	q.Header.Set("X-Attempt-Id", a.id)
	q.Header.Set("X-Deadline-Ms", fmt.Sprint(o.deadline.Milliseconds()))
	q.Header.Set("Authorization", "Token "+o.key)

	for k, v := range o.header {
		q.Header.Set(k, v)
	}

	r, err := c.Do(q)
	if err != nil {
		a.err = err

		return a
	}
	defer r.Body.Close()

	var b strings.Builder

	_, a.err = bufio.NewReader(r.Body).WriteTo(&b)
	a.status, a.seal, a.body = r.StatusCode, r.Header.Get("X-Response-Seal"), []byte(b.String())

	return a
}

// newClient returns a client that keeps a channel.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableCompression: true}}
}
