package binder

import (
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/auburntray/auburntray/internal/discoverer"
	"github.com/auburntray/auburntray/internal/pinner"
	"github.com/auburntray/auburntray/internal/wire"
)

// encodeNotes returns the record with some notes. Those with the same version and attempt share them, since there are few.
func encodeNotes(l []keptNote) *wire.StreamNotes {
	type key struct {
		version uint64
		attempt uint32
	}

	index := make(map[key]int)
	o := &wire.StreamNotes{}

	for _, n := range l {
		k := key{uint64(n.Version), attempt(n.Note)}

		i, ok := index[k]
		if !ok {
			i = len(o.Versions)
			index[k] = i
			o.Versions = append(o.Versions, wire.VersionStreams{Version: k.version, Attempt: k.attempt})
		}

		o.Versions[i].Streams = append(o.Versions[i].Streams, uint64(n.Stream))
	}

	return o
}

// decodeNotes is the inverse of encodeNotes. It fails with ErrBinding.
func decodeNotes(b []byte) ([]pinner.Note, error) {
	var w wire.StreamNotes
	if _, err := w.UnmarshalMsg(b); err != nil {
		return nil, errors.Mark(err, ErrBinding)
	}

	var o []pinner.Note

	for _, v := range w.Versions {
		for _, s := range v.Streams {
			o = append(o, pinner.Note{Stream: pinner.Stream(s), Version: discoverer.Version(v.Version), Attempt: int(v.Attempt)})
		}
	}

	return o, nil
}

// decodeMark adds the versions in use of a record to those by group. A version that is not written again may have served until just
// now, so the age of the record says nothing. It fails with ErrBinding.
func decodeMark(b []byte, used map[string][]discoverer.Version) error {
	var w wire.UsedVersions
	if _, err := w.UnmarshalMsg(b); err != nil {
		return errors.Mark(err, ErrBinding)
	}

	for _, v := range w.Versions {
		used[w.Group] = append(used[w.Group], discoverer.Version(v))
	}

	return nil
}

// slotAfter returns the number of the record after that with a key, of the instance with a key prefix; zero if the key has no
// number.
func slotAfter(key, prefix string) int {
	n, err := strconv.Atoi(strings.TrimPrefix(key, prefix))
	if err != nil || n < 0 || n >= slots {
		return 0
	}

	return (n + 1) % slots
}
