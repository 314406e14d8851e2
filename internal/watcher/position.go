package watcher

// Position is a place in a stream.
//
// A source may come back from an older copy of itself: it then lacks records that it has acknowledged, and assigns
// their offsets again. It begins a new era with that. Offsets of different eras can't be compared.
type Position struct {
	// Era rises each time that the source comes back from a copy.
	Era uint64
	// Offset is that of the next record; negative before the first read.
	Offset int64
}

// Unread returns the position of a reader that has read nothing yet.
func Unread() Position {
	return Position{Offset: -1}
}

// IsRead reports whether anything was read up to the position.
func (p Position) IsRead() bool {
	return p.Offset >= 0
}

// Before reports whether the position is of an earlier era than another, or at a lower offset of the same era.
func (p Position) Before(o Position) bool {
	return p.Era < o.Era || p.Era == o.Era && p.Offset < o.Offset
}
