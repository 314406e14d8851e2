package quarantiner

import "github.com/auburntray/auburntray/internal/digester"

// mostServed is how many calls an instance knows to have served, at least, and half of how many
// at most: those of some minutes at ten a second.
const mostServed = 4096

// served are the calls that were served last. The zero value holds none.
type served struct {
	newer, older map[digester.Digest]struct{}
}

func (s *served) add(d digester.Digest) {
	if len(s.newer) >= mostServed || s.newer == nil {
		s.newer, s.older = make(map[digester.Digest]struct{}), s.newer
	}

	s.newer[d] = struct{}{}
}

func (s *served) has(d digester.Digest) bool {
	if _, ok := s.newer[d]; ok {
		return true
	}

	_, ok := s.older[d]

	return ok
}
