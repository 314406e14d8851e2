package engine

import (
	"context"
	"sync"
)

// stream is an answer that is being generated. A caller whose connection broke can
// resume it at an offset. It is safe for concurrent use.
type stream struct {
	mu           sync.Mutex
	tokens       []string
	done         bool
	changed      chan struct{}
	cancel       context.CancelFunc
	promptTokens int
	cachedTokens int
	canceled     bool
}

func newStream(cancel context.CancelFunc) *stream {
	return &stream{changed: make(chan struct{}), cancel: cancel}
}

func (s *stream) add(token string) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.tokens = append(s.tokens, token)
	s.notify()
}

func (s *stream) finish(canceled bool) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.done = true
	s.canceled = canceled
	s.notify()
}

func (s *stream) setUsage(promptTokens, cachedTokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.promptTokens = promptTokens
	s.cachedTokens = cachedTokens
}

func (s *stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// next returns the tokens from an offset on and whether the answer is complete after
// them. It waits until there is at least one token or the answer is complete. It fails if
// the context ends or the stream was cancelled.
func (s *stream) next(c context.Context, offset int) (l []string, done bool, err error) {
	for {
		s.mu.Lock()
		g := s.changed

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
