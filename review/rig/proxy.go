//go:build review

package main

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// proxy is the path to a server. While it is cut, new channels are refused, and what is sent on open ones is held up in either direction.
//
// What a sender has sent is sent again 0.2, 0.6, 1.4, 3.0, 6.2 and 12.6 s after the first time, as TCP does, and arrives at the first of
// these times after the end of the cut. It is lost if the sender has reset the channel by then.
type proxy struct {
	rig    *rig
	server string

	mu       sync.Mutex
	address  string
	listener net.Listener
	cutFrom  time.Time
	cutTo    time.Time
}

// newProxy opens the path to a server.
func (r *rig) newProxy(server string) (*proxy, error) {
	r.mu.Lock()
	r.listeners++
	n := r.listeners
	r.mu.Unlock()

	p := &proxy{rig: r, server: server}

	if err := p.listen(r.host(n) + ":0"); err != nil {
		return nil, err
	}

	r.mu.Lock()
	defer r.mu.Unlock()

	r.closers = append(r.closers, p.closeListener)

	return p, nil
}

func (p *proxy) listen(address string) error {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	if err != nil {
		return err
	}

	p.mu.Lock()
	p.listener, p.address = l, l.Addr().String()
	p.mu.Unlock()

	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}

			go p.serve(c)
		}
	}()

	return nil
}

func (p *proxy) closeListener() {
	p.mu.Lock()
	defer p.mu.Unlock()

	_ = p.listener.Close() // It may be closed.
}

// cut cuts the path for a time, and returns when it was open again.
func (p *proxy) cut(d time.Duration) (time.Time, error) {
	p.mu.Lock()
	p.cutFrom = time.Now()
	p.cutTo = p.cutFrom.Add(d)
	to := p.cutTo
	p.mu.Unlock()

	p.closeListener()
	time.Sleep(time.Until(to))

	return to, p.listen(p.address)
}

// delay returns how long it takes until what is sent now arrives.
func (p *proxy) delay(sent time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()

	if sent.Before(p.cutFrom) || sent.After(p.cutTo) {
		return 0
	}

	o := time.Duration(0)
	for t := 200 * time.Millisecond; sent.Add(o).Before(p.cutTo); t *= 2 {
		o += t
	}

	return o
}

// serve passes on what arrives on a channel.
func (p *proxy) serve(c net.Conn) {
	s, err := net.Dial("tcp", p.server) //nolint:noctx // On loopback.
	if err != nil {
		_ = c.Close()

		return
	}

	go p.pass(c, s)
	p.pass(s, c)
}

// segment is what was sent at a time; without bytes it is the end of the channel.
type segment struct {
	sent  time.Time
	bytes []byte
}

// pass passes on what arrives on one channel to the other, each part when it arrives there.
func (p *proxy) pass(from, to net.Conn) {
	l := make(chan segment, 1<<10) // More than is sent in a cut.
	reset := make(chan struct{})

	go func() {
		defer close(l)

		for {
			b := make([]byte, 64<<10)
			n, err := from.Read(b)

			if n > 0 {
				l <- segment{time.Now(), b[:n]}
			}

			switch {
			case err == nil:
			case errors.Is(err, io.EOF):
				l <- segment{sent: time.Now()}

				return
			default:
				if errors.Is(err, syscall.ECONNRESET) {
					close(reset)
				}

				return
			}
		}
	}()

	free := time.Time{} // What was sent later does not arrive earlier.

	for x := range l {
		if at := x.sent.Add(p.delay(x.sent)); at.After(free) {
			free = at
		}

		select {
		case <-time.After(time.Until(free)):
		case <-reset:
			p.rig.logf("a channel was reset: what it held up is lost")
			abort(to)

			return
		}

		if x.bytes == nil {
			closeWrite(to)

			continue
		}

		if _, err := to.Write(x.bytes); err != nil {
			break
		}
	}

	_ = from.Close() // It has ended.
}

func abort(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // It may be closed.
	}

	_ = c.Close()
}

func closeWrite(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.CloseWrite() // It may be closed.
	}
}
