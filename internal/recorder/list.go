package recorder

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"
)

// separators may precede a value in an object or an array.
const separators = " \t\r\n,:"

// listReader reads an answer with a List value by value.
//
// encoding/json decodes an answer as a whole or not at all. A single entry with a port out of range, a number too large or
// too many nested arrays would hide all others, in each later answer too.
type listReader struct {
	data    []byte
	decoder *json.Decoder
}

func newListReader(b []byte) *listReader {
	d := json.NewDecoder(bytes.NewReader(b))
	d.UseNumber() // A number beyond float64 is no error of the whole answer.

	return &listReader{data: b, decoder: d}
}

// read returns the list. It fails if the answer is no JSON object of the expected form, but for the entries.
func (r *listReader) read() (List, error) {
	var l List

	if err := r.expect(json.Delim('{')); err != nil {
		return l, err
	}

	for r.decoder.More() {
		n, err := r.decoder.Token()
		if err != nil {
			return l, err
		}

		switch n {
		case "version":
			err = r.readVersion(&l)
		case "instances":
			err = r.readInstances(&l)
		default:
			_, err = r.value()
		}

		if err != nil {
			return l, err
		}
	}

	if err := r.expect(json.Delim('}')); err != nil {
		return l, err
	}

	if _, err := r.decoder.Token(); !errors.Is(err, io.EOF) {
		return l, errors.New("text follows the list")
	}

	return l, nil
}

func (r *listReader) readVersion(l *List) error {
	v, err := r.value()
	if err != nil {
		return err
	}

	return json.Unmarshal(v, &l.Version)
}

// readInstances reads the entries; null stands for none.
func (r *listReader) readInstances(l *List) error {
	t, err := r.decoder.Token()
	if err != nil || t == nil {
		return err
	}

	if t != json.Delim('[') {
		return errors.Newf("the instances begin with %v", t)
	}

	for r.decoder.More() {
		v, err := r.value()
		if err != nil {
			return err
		}

		var i Instance
		if err := json.Unmarshal(v, &i); err != nil {
			l.Invalid = append(l.Invalid, errors.Newf("instance %.64q: %.256s", i.Name, err))
		} else {
			l.Instances = append(l.Instances, i)
		}
	}

	return r.expect(json.Delim(']'))
}

// value returns the text of the next value.
func (r *listReader) value() ([]byte, error) {
	b := r.decoder.InputOffset()

	for depth := 0; ; {
		t, err := r.decoder.Token()
		if err != nil {
			return nil, err
		}

		switch t {
		case json.Delim('{'), json.Delim('['):
			depth++
		case json.Delim('}'), json.Delim(']'):
			depth--
		}

		if depth == 0 {
			return bytes.TrimLeft(r.data[b:r.decoder.InputOffset()], separators), nil
		}
	}
}

func (r *listReader) expect(d json.Delim) error {
	t, err := r.decoder.Token()
	if err != nil {
		return err
	}

	if t != d {
		return errors.Newf("the list has %v where %v is expected", t, d)
	}

	return nil
}
