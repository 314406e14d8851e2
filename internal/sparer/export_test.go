package sparer

// Len returns how many rests are remembered.
func (s *Sparer[K]) Len() int { return len(s.rests) }
