// Package hasher hashes names and keys and ranks candidates by rendezvous hashing.
//
// Rendezvous hashing gives every key its own order of candidates. When a candidate is removed, only the
// keys that ranked it first move, and instances need to share no ring or table.
package hasher

import (
	"encoding/binary"
	"math"
	"sort"

	"github.com/cespare/xxhash/v2"
)

const (
	wordBytes = 8
	wordBits  = 64
	// mantissaBits is the precision of a float64.
	mantissaBits = 53
)

// Name returns the 32-bit hash of a name. It is safe for concurrent use. Collisions within a configuration
// document are excluded by the parser, which refuses documents where two names of a kind have the same hash.
func Name(name string) uint32 {
	return uint32(xxhash.Sum64String(name)) //nolint:gosec // The low 32 bits are the hash.
}

// Key returns the 64-bit hash of the parts, each preceded by its length, so that ("ab", "c") and ("a", "bc")
// differ. It is safe for concurrent use.
func Key(parts ...string) uint64 {
	d := xxhash.New()

	var b [wordBytes]byte

	for _, p := range parts {
		binary.LittleEndian.PutUint64(b[:], uint64(len(p)))
		_, _ = d.Write(b[:])
		_, _ = d.WriteString(p)
	}

	return d.Sum64()
}

// Mix returns the hash of a hash chain extended by one link. It is safe for concurrent use.
func Mix(chain, link uint64) uint64 {
	var b [2 * wordBytes]byte

	binary.LittleEndian.PutUint64(b[:wordBytes], chain)
	binary.LittleEndian.PutUint64(b[wordBytes:], link)

	return xxhash.Sum64(b[:])
}

// Score returns the weighted rendezvous score of a candidate for a key. The candidate with the highest
// score wins, so that each candidate wins a share of the keys in proportion to its weight. A weight of
// zero or less gives the score -Inf, with which a candidate never wins. It is safe for concurrent use.
//
// Source: Schindelhauer and Schomaker, "Weighted distributed hash tables"
// (2005), the logarithmic method.
func Score(key, candidate uint64, weight float64) float64 {
	if weight <= 0 {
		return math.Inf(-1)
	}

	h := Mix(key, candidate) >> (wordBits - mantissaBits)
	u := (float64(h) + 0.5) / (1 << mantissaBits)

	return -weight / math.Log(u)
}

// Rank returns the indexes 0..n-1 in descending order of score. It calls candidate and weight once for
// each index, and is safe for concurrent use if they are.
func Rank(key uint64, n int, candidate func(int) uint64, weight func(int) float64) []int {
	s := make([]float64, n)
	r := make([]int, n)

	for i := range n {
		s[i] = Score(key, candidate(i), weight(i))
		r[i] = i
	}

	sort.SliceStable(r, func(a, b int) bool { return s[r[a]] > s[r[b]] })

	return r
}
