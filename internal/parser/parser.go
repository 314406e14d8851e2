package parser

import (
	"bytes"
	"encoding/json"
	"io"
	"net/netip"
	"reflect"
	"sort"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/go-playground/validator/v10"
	"k8s.io/apimachinery/pkg/labels"

	"github.com/auburntray/auburntray/internal/hasher"
)

// Parse parses and validates a document. The error lists every fault with its path
// and is marked with ErrDocument. Parse is safe for concurrent use.
func Parse(data []byte) (*Document, error) {
	var d Document

	j := json.NewDecoder(bytes.NewReader(data))
	j.DisallowUnknownFields()

	if err := j.Decode(&d); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "reading the document"), ErrDocument)
	}

	if _, err := j.Token(); !errors.Is(err, io.EOF) {
		return nil, errors.Mark(errors.New("text follows the document"), ErrDocument)
	}

	if err := Check(&d); err != nil {
		return nil, err
	}

	return &d, nil
}

// Check validates a document. The error lists every fault with its path and is marked
// with ErrDocument.
func Check(d *Document) error {
	f := fieldFaults(d)
	f = append(f, targetFaults(d)...)
	f = append(f, ruleFaults(d)...)
	f = append(f, nameFaults("targets", d.Targets)...)
	f = append(f, nameFaults("customers", d.Customers)...)
	f = append(f, nameFaults("rules", d.Rules)...)

	if len(f) == 0 {
		return nil
	}

	sort.Strings(f)

	return errors.Mark(errors.Newf("%s", strings.Join(f, "; ")), ErrDocument)
}

// fieldFaults returns the violations of the fields' validate tags, with JSON names in the paths.
func fieldFaults(d *Document) []string {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		n, _, _ := strings.Cut(f.Tag.Get("json"), ",")

		return n
	})

	err := v.Struct(d)

	var e validator.ValidationErrors
	if !errors.As(err, &e) {
		return nil
	}

	f := make([]string, 0, len(e))

	for _, x := range e {
		p := strings.TrimPrefix(x.Namespace(), "Document.")
		f = append(f, p+": must satisfy "+strings.TrimSuffix(x.Tag()+"="+x.Param(), "="))
	}

	return f
}

// targetFaults validates the addresses and labels of targets. Two targets must not share
// an address, since the load of one process would be counted twice.
func targetFaults(d *Document) []string {
	var f []string

	o := make(map[netip.AddrPort]string, len(d.Targets))

	for _, n := range sorted(d.Targets) {
		a, err := netip.ParseAddrPort(d.Targets[n].Address)
		if err != nil {
			f = append(f, "targets["+n+"].address: must be an IP number and a port")

			continue
		}

		if p, ok := o[a]; ok {
			f = append(f, "targets["+n+"].address: is also the address of "+p)
		}

		o[a] = n

		if _, err := labels.ValidatedSelectorFromSet(d.Targets[n].Labels); err != nil {
			f = append(f, "targets["+n+"].labels: "+err.Error())
		}
	}

	return f
}

// ruleFaults validates the selectors of rules.
func ruleFaults(d *Document) []string {
	var f []string

	for _, n := range sorted(d.Rules) {
		r := d.Rules[n]
		if _, err := labels.Parse(r.Traffic); err != nil {
			f = append(f, "rules["+n+"].traffic: "+err.Error())
		}

		if _, err := labels.Parse(r.Targets); err != nil {
			f = append(f, "rules["+n+"].targets: "+err.Error())
		}
	}

	return f
}

// nameFaults returns names whose hashes collide. Instances identify names to each other
// by their hashes, so two such names would share load counts and placements. The document
// is refused at publication, when the operator can still choose another name.
func nameFaults[V any](path string, m map[string]V) []string {
	var f []string

	o := make(map[uint32]string, len(m))

	for _, n := range sorted(m) {
		h := hasher.Name(n)
		if p, ok := o[h]; ok {
			f = append(f, path+"["+n+"]: collides with "+p+"; choose another name")
		}

		o[h] = n
	}

	return f
}

// sorted returns the sorted keys of a map.
func sorted[V any](m map[string]V) []string {
	k := make([]string, 0, len(m))
	for n := range m {
		k = append(k, n)
	}

	sort.Strings(k)

	return k
}
