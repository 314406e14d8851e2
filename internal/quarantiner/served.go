package quarantiner

import "github.com/auburntray/auburntray/internal/digester"

// servedPerGeneration is the number of served subjects per generation. With two generations the last 8,192
// to 16,384 are remembered: at ten calls per second, each with a part of its own, those of the last 7 to 14 minutes.
const servedPerGeneration = 8192

// served is the set of the most recently served subjects. The zero value is empty.
type served struct {
	current, previous map[digester.Digest]struct{}
}

func (s *served) add(d digester.Digest) {
	if len(s.current) >= servedPerGeneration || s.current == nil {
		s.current, s.previous = make(map[digester.Digest]struct{}), s.current
	}

	s.current[d] = struct{}{}
}

func (s *served) contains(d digester.Digest) bool {
	if _, ok := s.current[d]; ok {
		return true
	}

	_, ok := s.previous[d]

	return ok
}
