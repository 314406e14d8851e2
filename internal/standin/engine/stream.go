package engine

import (
	"context"
	"sync"
)

// stream is one answer as it is generated. A caller that lost its connection
// reads on from where it was.
type stream struct {
	mu       sync.Mutex
	tokens   []string
	done     bool
	grown    chan struct{}
	cancel   context.CancelFunc
	prompt   int
	cached   int
	canceled bool
}

func newStream(cancel context.CancelFunc) *stream {
	return &stream{grown: make(chan struct{}), cancel: cancel}
}

func (s *stream) add(token string) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.tokens = append(s.tokens, token)
	s.wake()
}

func (s *stream) finish(canceled bool) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.done = true
	s.canceled = canceled
	s.wake()
}

func (s *stream) measure(prompt, cached int) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.prompt = prompt
	s.cached = cached
}

func (s *stream) wake() {
	close(s.grown)
	s.grown = make(chan struct{})
}

// next returns the tokens from an offset on, waiting for the first of them, and
// whether the answer is complete after them.
func (s *stream) next(c context.Context, offset int) (l []string, done bool, err error) {
	for {
		s.mu.Lock()
		g := s.grown

		if offset < len(s.tokens) || s.done {
			l = append(l, s.tokens[min(offset, len(s.tokens)):]...)
			done = s.done

			if s.canceled {
				err = context.Canceled
			}

			s.mu.Unlock()

			return l, done, err
		}

		s.mu.Unlock()

		select {
		case <-g:
		case <-c.Done():
			return nil, false, c.Err()
		}
	}
}
