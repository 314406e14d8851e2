//go:build review

package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/auburntray/auburntray/platform"
	"github.com/auburntray/auburntray/platform/standin"
)

const (
	program = "target/auburntray"
	// The ports of each instance, which has a loopback address of its own.
	frontPort, readyPort, controlPort, metricsPort = 7101, 7102, 7103, 9100

	grace      = 8 * time.Second
	readyLimit = 20 * time.Second
	pollPause  = 50 * time.Millisecond

	host   = "app.example"
	apiKey = "key-1"
)

// settings is a settings file as the platform's page on deployment shows it.
const settings = `nodeName = "front-%d"
role = "gateway"
machineClass = "front"
serves = ["front","control"]
ip = "%s"
zone = "%s"
region = "r"
internalPorts = [7340,7355]
seeds = [%s]
bootstrap = true
discovery = "platform"
entry = "virtual_ip"
heartbeatMs = 1200
[zones]
%s
[listen]
front = "%s:%d"
ready = "%s:%d"
control = "%s:%d"
[limits]
cpuShare = 0.4
cpuCores = 1
memoryMb = 284
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[bounds]
reuseAfterS = 2
stabilityWindowMs = 3000
drainMs = 2000
graceS = 8
lostMs = 200
configApplyMs = 2000
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 56
capX = 2
[platform]
address = "%s"
form = "log"
writesPerS = 400.0
readsPerS = 2000.0
`

var errNotReady = errors.New("an instance did not become ready")

// rig holds the stand-ins and the processes of a case.
type rig struct {
	dir   string
	start time.Time
	net   string
	store *standin.Store
	// storeAddress is where instances reach the store.
	storeAddress string

	mu        sync.Mutex
	record    io.Writer
	gateways  []*gateway
	listeners int
	closers   []func()
}

// gateway is one instance.
type gateway struct {
	number int
	ip     string
	zone   string
	done   chan struct{}
	cmd    *exec.Cmd
}

// newRig returns a rig with a store and no instances.
func newRig(record io.Writer) (*rig, error) {
	d, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}

	// Other runs on the machine use other addresses.
	const nets, hosts = 100, 250

	p := os.Getpid()
	r := &rig{dir: d, start: time.Now(), net: fmt.Sprintf("127.%d.%d", 20+p/hosts%nets, 1+p%hosts), store: standin.NewStore(), record: record}
	r.closers = append(r.closers, func() { _ = os.RemoveAll(d) })

	r.storeAddress, err = r.serve(standin.NewEndpoint(r.store))

	return r, err
}

// close ends all processes and stand-ins.
func (r *rig) close() {
	for _, g := range r.gateways {
		if g.cmd != nil {
			_ = g.cmd.Process.Kill() // It may have ended.
			<-g.done
		}
	}

	for i := len(r.closers) - 1; i >= 0; i-- {
		r.closers[i]()
	}
}

// logf writes a line of the record, with the time since the start.
func (r *rig) logf(format string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()

	_, _ = fmt.Fprintf(r.record, "%9.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, a...)) // A failure shows as a short record.
}

// since returns a time for a line of the record.
func (r *rig) since(t time.Time) float64 { return t.Sub(r.start).Seconds() }

// serve serves HTTP at a new loopback address until the rig is closed.
func (r *rig) serve(h http.Handler) (string, error) {
	r.mu.Lock()
	r.listeners++
	n := r.listeners
	r.mu.Unlock()

	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", r.host(n)+":0")
	if err != nil {
		return "", err
	}

	s := &http.Server{Handler: h, ReadHeaderTimeout: grace}

	go func() { _ = s.Serve(l) }() // It ends with the rig.

	r.mu.Lock()
	defer r.mu.Unlock()

	r.closers = append(r.closers, func() { _ = s.Close() })

	return l.Addr().String(), nil
}

// host returns the address of the nth stand-in.
func (r *rig) host(n int) string {
	const first = 100

	return fmt.Sprintf("%s.%d", r.net, first+n)
}

// configure writes a configuration to the store.
func (r *rig) configure(version int, services []string, routes []map[string]any) error {
	var l []any
	for _, s := range services {
		l = append(l, map[string]any{"name": s})
	}

	b, err := json.Marshal(map[string]any{
		"version": version, "services": l, "routes": routes,
		"tenants": []any{map[string]any{"name": "member-1", "apiKeys": []string{apiKey}}},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000, "idleTimeoutMs": 30000},
	})
	if err != nil {
		return err
	}

	r.store.Put(platform.ConfigStream, platform.ConfigKey, b)
	r.logf("operator: version %d is acknowledged", version)

	return nil
}

// startGateways starts an instance in each of the given zones and waits until all are ready.
func (r *rig) startGateways(zones ...string) error {
	for i, z := range zones {
		g := &gateway{number: i, ip: fmt.Sprintf("%s.%d", r.net, 10+i), zone: z, done: make(chan struct{})}
		r.gateways = append(r.gateways, g)

		if err := r.startGateway(g, zones); err != nil {
			return err
		}
	}

	for _, g := range r.gateways {
		if err := g.awaitReady(); err != nil {
			return err
		}
	}

	r.logf("%d instances are ready", len(zones))

	return nil
}

// startGateway starts the process of an instance, with the command of the deploy file.
func (r *rig) startGateway(g *gateway, zones []string) error {
	var seeds, regions []string

	for i, z := range zones {
		const maxSeeds = 3
		if i < maxSeeds {
			seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s.%d:%d", r.net, 10+i, controlPort)))
		}

		if l := fmt.Sprintf("%s = \"r\"", z); !strings.Contains(strings.Join(regions, "\n"), l) {
			regions = append(regions, l)
		}
	}

	p := filepath.Join(r.dir, fmt.Sprintf("%d.toml", g.number))
	b := fmt.Appendf(nil, settings, g.number, g.ip, g.zone, strings.Join(seeds, ","), strings.Join(regions, "\n"),
		g.ip, frontPort, g.ip, readyPort, g.ip, controlPort, r.storeAddress)

	const mode = 0o600
	if err := os.WriteFile(p, b, mode); err != nil {
		return err
	}

	o, err := os.Create(filepath.Join(r.dir, fmt.Sprintf("%d.out", g.number)))
	if err != nil {
		return err
	}

	c := exec.Command(program, "platform", "--metrics-port", fmt.Sprint(metricsPort)) //nolint:gosec,noctx // The program under test; the rig ends it.
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + r.dir, platform.SettingsVariable + "=" + p}
	c.Stdout, c.Stderr = o, o

	if err := c.Start(); err != nil {
		return err
	}

	g.cmd = c

	go func() {
		_ = c.Wait() // How it ended is in the state of the process.
		_ = o.Close()

		r.logf("instance %d: the process has ended (%s)", g.number, c.ProcessState)
		close(g.done)
	}()

	return nil
}

// signal sends a signal to the process of an instance.
func (r *rig) signal(g *gateway, s syscall.Signal) error {
	r.logf("instance %d gets %s", g.number, s)

	return g.cmd.Process.Signal(s)
}

func (g *gateway) front() string { return fmt.Sprintf("%s:%d", g.ip, frontPort) }

// isReady asks an instance as the platform does.
func (g *gateway) isReady() bool {
	c, stop := context.WithTimeout(context.Background(), time.Second)
	defer stop()

	q, err := http.NewRequestWithContext(c, http.MethodGet, fmt.Sprintf("http://%s:%d/auburntray/ready", g.ip, readyPort), http.NoBody)
	if err != nil {
		return false
	}

	a, err := http.DefaultClient.Do(q)
	if err != nil {
		return false
	}

	_ = a.Body.Close() // It is empty.

	return a.StatusCode == http.StatusOK
}

func (g *gateway) awaitReady() error {
	for b := time.Now(); time.Since(b) < readyLimit; time.Sleep(pollPause) {
		if g.isReady() {
			return nil
		}
	}

	return errNotReady
}
