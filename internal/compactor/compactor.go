// Package compactor stores many similar values in little memory.
//
// The records of ten thousand targets differ mostly in their numbers. The text between the numbers is stored once, and
// each value as its numbers.
package compactor

import (
	"encoding/binary"
	"strconv"
)

const (
	// maxTemplates bounds the templates. The values that have none are stored as they are.
	maxTemplates = 256
	// MaxLength is the length in bytes up to which a value is stored by its numbers.
	MaxLength = 1 << 10
	// maxDigits is the length of the longest number that certainly fits in 64 bits.
	maxDigits = 19
	// placeholder stands for a number in a template.
	placeholder = 0
	// verbatim is the index of the values that are stored as they are. The templates follow.
	verbatim = 0
)

// Compactor holds the templates of values. It is not safe for concurrent use.
type Compactor struct {
	templates [][]byte
	indexes   map[string]uint64
}

// Value is a stored value. It can be restored only by the Compactor that has returned it.
type Value string

// New returns a Compactor without templates.
func New() *Compactor {
	return &Compactor{templates: [][]byte{nil}, indexes: make(map[string]uint64)}
}

// Pack returns the stored form of a value.
func (c *Compactor) Pack(v []byte) Value {
	if len(v) == 0 {
		return ""
	}

	t, numbers, ok := split(v)
	if !ok {
		return asIs(v)
	}

	n, ok := c.indexes[string(t)]
	if !ok && len(c.templates) > maxTemplates {
		return asIs(v)
	}

	if !ok {
		n = uint64(len(c.templates))
		c.templates = append(c.templates, t)
		c.indexes[string(t)] = n
	}

	var b [MaxLength + binary.MaxVarintLen64]byte

	o := binary.AppendUvarint(b[:0], n)
	for _, x := range numbers {
		o = binary.AppendUvarint(o, x)
	}

	return Value(o)
}

// Unpack restores a value.
func (c *Compactor) Unpack(p Value) []byte {
	if p == "" {
		return nil
	}

	b := []byte(p)
	n, k := binary.Uvarint(b)
	b = b[k:]

	if n == verbatim {
		return b
	}

	t := c.templates[n]
	o := make([]byte, 0, len(t)+len(b))

	for _, x := range t {
		if x != placeholder {
			o = append(o, x)

			continue
		}

		i, k := binary.Uvarint(b)
		o, b = strconv.AppendUint(o, i, 10), b[k:]
	}

	return o
}

func asIs(v []byte) Value { return Value(append([]byte{verbatim}, v...)) }

// split returns a value with placeholders instead of its numbers, and the numbers. It returns false if the value cannot
// be restored from them, or if it is too long.
func split(v []byte) (template []byte, numbers []uint64, ok bool) {
	if len(v) > MaxLength {
		return nil, nil, false
	}

	template = make([]byte, 0, len(v))

	for len(v) > 0 {
		if v[0] == placeholder {
			return nil, nil, false
		}

		n := digits(v)
		if n == 0 {
			template, v = append(template, v[0]), v[1:]

			continue
		}

		x, err := strconv.ParseUint(string(v[:n]), 10, 64)
		if err != nil {
			return nil, nil, false
		}

		template, numbers, v = append(template, placeholder), append(numbers, x), v[n:]
	}

	return template, numbers, true
}

// digits returns the length of the number at the start of v. A number has no leading zeros, so that it can be restored
// from its value.
func digits(v []byte) int {
	if v[0] == '0' {
		return 1
	}

	n := 0
	for n < min(len(v), maxDigits) && v[n] >= '0' && v[n] <= '9' {
		n++
	}

	return n
}
