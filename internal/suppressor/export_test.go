package suppressor

// Len returns the number of backoffs that are remembered.
func (s *Suppressor[K]) Len() int { return len(s.backoffs) }
