package joiner

import (
	"context"
	"net/netip"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/auburntray/auburntray/internal/recorder"
)

// shrinkingLister returns the given lists one after the other.
type shrinkingLister struct {
	lists []recorder.List
	since []uint64
}

func (l *shrinkingLister) Instances(_ context.Context, since uint64) (recorder.List, error) {
	l.since = append(l.since, since)
	o := l.lists[0]
	l.lists = l.lists[1:]

	return o, nil
}

// Guards against changes that are missed after the platform has come back from an older copy of its list, in which
// versions are given out again.
func TestListFromACopyIsReadFromItsStart(t *testing.T) {
	i := is.New(t)
	a := netip.MustParseAddrPort("10.0.0.1:1")
	s := &shrinkingLister{lists: []recorder.List{
		{Version: 9}, {Version: 4}, {Version: 5, Instances: []recorder.Instance{{Role: roleRouter, Address: a}}}, {Version: 5},
	}}
	j := &Joiner{lister: s, listed: make(map[netip.AddrPort]bool)}

	for range 4 {
		j.readList(t.Context())
	}

	i.Equal(s.since, []uint64{0, 9, 0, 5})
	i.True(j.listed[a])
}

// Guards against a router that stops following the platform's list, or probes an address at which nothing can be, because of an
// entry of another writer.
func TestOddEntriesOfTheList(t *testing.T) {
	logrus.SetLevel(logrus.PanicLevel)

	a, b := netip.MustParseAddrPort("10.0.0.1:1"), netip.MustParseAddrPort("10.0.0.2:1")
	entry := func(s string) recorder.Instance {
		return recorder.Instance{Role: roleRouter, Address: netip.MustParseAddrPort(s)}
	}

	for name, x := range map[string]recorder.List{
		"can't be decoded":    {Invalid: []error{errors.New("port out of range")}},
		"no address":          {Instances: []recorder.Instance{{Role: roleRouter}}},
		"port of zero":        {Instances: []recorder.Instance{entry("10.0.0.9:0")}},
		"unspecified address": {Instances: []recorder.Instance{entry("0.0.0.0:1")}},
		"empty":               {Instances: []recorder.Instance{{}}},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			first := append([]recorder.Instance{{Role: roleRouter, Address: a}}, x.Instances...)
			s := &shrinkingLister{lists: []recorder.List{
				{Version: 1, Instances: first, Invalid: x.Invalid}, {Version: 2, Instances: []recorder.Instance{{Role: roleRouter, Address: b}}},
			}}
			j := &Joiner{lister: s, listed: make(map[netip.AddrPort]bool), onTargetChange: func(recorder.Instance) {}}

			for range 2 {
				j.readList(t.Context())
			}

			i.Equal(s.since, []uint64{0, 1})
			i.Equal(j.listed, map[netip.AddrPort]bool{a: true, b: true})
		})
	}
}
