package pinner_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/discoverer"
	"github.com/auburntray/auburntray/internal/pinner"
)

var start = time.Unix(0, 0)

// registry returns a registry of group g with a target of each version.
func registry(versions ...string) *discoverer.Registry {
	d := discoverer.New(discoverer.DefaultSettings())
	for i, v := range versions {
		d.Set(discoverer.Target{ID: string(rune('a' + i)), Group: "g", Version: v})
	}

	return d.Registry()
}

func versions(names ...string) []discoverer.Version {
	var o []discoverer.Version
	for _, n := range names {
		o = append(o, discoverer.VersionOf(n))
	}

	slices.Sort(o)

	return o
}

func TestVersionsInUse(t *testing.T) {
	for name, x := range map[string]struct {
		// registries follow each other every 10 s.
		registries [][]string
		at         time.Duration
		want       []string
		complete   bool
	}{
		"one version":                            {[][]string{{"v1", "v1"}}, 0, []string{"v1"}, false},
		"one version for a minute":               {[][]string{{"v1", "v1"}}, time.Minute, []string{"v1"}, true},
		"two versions":                           {[][]string{{"v1", "v2"}}, time.Minute, []string{"v1", "v2"}, false},
		"the old one has just gone":              {[][]string{{"v1", "v2"}, {"v2"}}, 69 * time.Second, []string{"v1", "v2"}, false},
		"the old one has been gone for a minute": {[][]string{{"v1", "v2"}, {"v2"}}, 70 * time.Second, []string{"v2"}, true},
		"a version comes and goes and comes":     {[][]string{{"v1"}, {"v1", "v2"}, {"v1"}, {"v1", "v2"}}, 5 * time.Minute, []string{"v1", "v2"}, false},
		"one version and one unknown":            {[][]string{{"v1", ""}}, time.Minute, []string{"", "v1"}, false},
		"only unknown versions":                  {[][]string{{"", ""}}, time.Minute, []string{""}, false},
		"no target":                              {[][]string{{}}, time.Minute, nil, false},
		"all targets have just gone":             {[][]string{{"v1"}, {}}, 10 * time.Second, []string{"v1"}, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := pinner.New()

			for i, l := range x.registries {
				p.Observe(start.Add(time.Duration(i)*10*time.Second), registry(l...))
			}

			n := start.Add(x.at)
			is.Equal(p.Versions(n, "g"), versions(x.want...))
			is.Equal(p.Mixed(n, "g"), len(x.want) > 1)

			is.Equal(p.Complete(n, "g") && len(x.want) == 1 && x.want[0] != "", x.complete)
		})
	}
}

// Guards against streams that other instances know nothing of, because they began before the second version appeared.
func TestRecentStreamsAreToldOnce(t *testing.T) {
	is := is.New(t)
	p := pinner.New()
	v := discoverer.VersionOf("v1")

	is.Equal(len(p.Observe(start, registry("v1"))), 0)
	p.RecordOwn(start, "g", pinner.Note{Stream: 1, Version: v, Attempt: 1})
	p.RecordOwn(start.Add(20*time.Second), "g", pinner.Note{Stream: 2, Version: v, Attempt: 1})
	p.RecordOwn(start.Add(20*time.Second), "h", pinner.Note{Stream: 3, Version: v, Attempt: 1})
	p.Record(start.Add(20*time.Second), pinner.Note{Stream: 4, Version: v, Attempt: 1})

	n := start.Add(25 * time.Second)
	is.Equal(p.Observe(n, registry("v1", "v2")), []string{"g"})
	is.Equal(p.Recent(n, "g"), []pinner.Note{{Stream: 2, Version: v, Attempt: 1}})
	is.Equal(len(p.Observe(n, registry("v1", "v2", "v2"))), 0)
}

func TestNotes(t *testing.T) {
	is := is.New(t)
	p := pinner.New()
	a, b := discoverer.VersionOf("v1"), discoverer.VersionOf("v2")

	p.Record(start, pinner.Note{Stream: 1, Version: b, Attempt: 2})
	p.Record(start, pinner.Note{Stream: 1, Version: a, Attempt: 1}) // It was sent earlier and arrives later.

	n, ok := p.Find(start.Add(59*time.Second), 1)
	is.True(ok)
	is.Equal(n.Version, b)

	_, ok = p.Find(start.Add(time.Minute), 1)
	is.True(!ok)

	// A stream that goes on is kept for longer.
	p.Record(start.Add(50*time.Second), pinner.Note{Stream: 1, Version: b, Attempt: 3})
	p.Record(start.Add(70*time.Second), pinner.Note{Stream: 2, Version: b})

	_, ok = p.Find(start.Add(70*time.Second), 1)
	is.True(ok)

	p.Record(start.Add(110*time.Second), pinner.Note{Stream: 2, Version: b})
	is.Equal(p.Len(), 1)

	for i := range 1 << 17 {
		p.Record(start.Add(2*time.Minute), pinner.Note{Stream: pinner.Stream(i + 3), Version: a})
	}

	is.True(p.Len() <= 1<<16)
}

// Guards against a stream that goes on at another version, and against one that is refused though its version is certain.
func TestDecide(t *testing.T) {
	v1, v2 := discoverer.VersionOf("v1"), discoverer.VersionOf("v2")
	view := func(centre string, l ...discoverer.Version) pinner.View {
		return pinner.View{DataCentre: centre, Versions: l, Complete: true}
	}
	starting := func(centre string, l ...discoverer.Version) pinner.View {
		return pinner.View{DataCentre: centre, Versions: l}
	}
	note := func(v pinner.View, version discoverer.Version, attempt int) pinner.View {
		v.Found, v.Note = true, pinner.Note{Version: version, Attempt: attempt}

		return v
	}

	for name, x := range map[string]struct {
		own    pinner.View
		others []pinner.View
		stale  bool
		want   discoverer.Version
	}{
		"a home knows":                                    {own: view("a", v1, v2), others: []pinner.View{view("b", v1, v2), note(view("b", v1, v2), v2, 1)}, want: v2},
		"the later of two notes":                          {own: view("a", v1, v2), others: []pinner.View{note(view("a"), v1, 1), note(view("b"), v2, 2)}, want: v2},
		"two versions, nobody knows":                      {own: view("a", v1, v2), others: []pinner.View{view("b", v1, v2)}},
		"it began at an unknown version":                  {own: view("a", v1), others: []pinner.View{note(view("b", v1), 0, 1)}},
		"one version, nobody knows another":               {own: view("a", v1), others: []pinner.View{view("b", v1)}, want: v1},
		"one version, a starting instance knows no":       {own: view("a", v1), others: []pinner.View{view("b")}, want: v1},
		"one version, another instance knows a second":    {own: view("a", v1), others: []pinner.View{view("b", v1, v2)}},
		"one version, another instance knows another":     {own: view("a", v1), others: []pinner.View{view("b", v2)}},
		"one unknown version":                             {own: view("a", 0), others: []pinner.View{view("b", 0)}},
		"no target known":                                 {own: view("a"), others: []pinner.View{view("b", v1)}},
		"one version, nobody answers":                     {own: view("a", v1), want: v1},
		"all have just started":                           {own: starting("a", v1), others: []pinner.View{starting("b", v1), starting("c", v1)}},
		"all but one have just started":                   {own: starting("a", v1), others: []pinner.View{starting("b", v1), view("c", v1)}, want: v1},
		"all but one have just started, it knows another": {own: starting("a", v1), others: []pinner.View{starting("b", v1), view("c", v1, v2)}},
		"all have just started, nobody answers":           {own: starting("a", v1)},
		"the list may be old, nobody answers":             {own: view("a", v1), stale: true},
		"the list may be old, one data centre is silent":  {own: view("a", v1), others: []pinner.View{view("b", v1)}, stale: true},
		"the list may be old, all data centres agree":     {own: view("a", v1), others: []pinner.View{view("b", v1), view("c", v1)}, stale: true, want: v1},
		"the list may be old, a home knows":               {own: view("a", v1), others: []pinner.View{note(view("b", v1), v2, 1)}, stale: true, want: v2},
		"the list may be old, another knows a second one": {own: view("a", v1), others: []pinner.View{view("b", v1, v2), view("c", v1)}, stale: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			v, ok := pinner.Decide(x.own, x.others, []string{"a", "b", "c"}, !x.stale)
			is.Equal(ok, x.want != 0)

			if ok {
				is.Equal(v, x.want)
			}
		})
	}
}

// Guards against a process that has just started and takes the only version listed for the only one that was in use.
func TestVersionsFromBeforeTheStart(t *testing.T) {
	v1, v2 := discoverer.VersionOf("v1"), discoverer.VersionOf("v2")

	for name, x := range map[string]struct {
		learn    func(p *pinner.Pinner) []string
		listed   []string
		want     []string
		mixed    []string
		complete bool
	}{
		"nothing is known":             {func(*pinner.Pinner) []string { return nil }, []string{"v2"}, []string{"v2"}, nil, false},
		"the log has no record":        {func(p *pinner.Pinner) []string { return p.Learn(start, nil) }, []string{"v2"}, []string{"v2"}, nil, false},
		"the log has no other version": {func(p *pinner.Pinner) []string { return p.Learn(start, map[string][]discoverer.Version{"g": {v2}}) }, []string{"v2"}, []string{"v2"}, nil, true},
		"the log has another version": {func(p *pinner.Pinner) []string {
			return p.Learn(start, map[string][]discoverer.Version{"g": {v1, v2}})
		}, []string{"v2"}, []string{"v1", "v2"}, []string{"g"}, true},
		"an instance knows another version": {func(p *pinner.Pinner) []string { return p.Learn(start, map[string][]discoverer.Version{"g": {v1, v2}}) }, []string{"v2"}, []string{"v1", "v2"}, []string{"g"}, true},
		"both versions are listed": {func(p *pinner.Pinner) []string {
			return p.Learn(start, map[string][]discoverer.Version{"g": {v1, v2}})
		}, []string{"v1", "v2"}, []string{"v1", "v2"}, nil, true},
		"a third version": {func(p *pinner.Pinner) []string {
			return p.Learn(start, map[string][]discoverer.Version{"g": {v1, v2}})
		}, []string{"v3"}, []string{"v1", "v2", "v3"}, []string{"g"}, true},
		"it is learned once": {func(p *pinner.Pinner) []string {
			p.Learn(start, map[string][]discoverer.Version{"g": {v2}})

			return p.Learn(start, map[string][]discoverer.Version{"g": {v1, v2}})
		}, []string{"v2"}, []string{"v2"}, nil, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := pinner.New()
			p.Observe(start, registry(x.listed...))

			is.Equal(x.learn(p), x.mixed)
			is.Equal(p.Versions(start, "g"), versions(x.want...))
			is.Equal(p.Complete(start, "g"), x.complete)
			is.Equal(len(p.Versions(start.Add(time.Minute), "g")), len(x.listed))
		})
	}
}

// Guards against streams of which nobody is told, as the process that began them knew one version and not yet what was before.
func TestStreamsAreToldUntilVersionsAreKnown(t *testing.T) {
	v1, v2 := discoverer.VersionOf("v1"), discoverer.VersionOf("v2")

	for name, x := range map[string]struct {
		learn      func(p *pinner.Pinner)
		at         time.Duration
		must       bool
		incomplete []string
	}{
		"just started":                {func(*pinner.Pinner) {}, 0, true, []string{"g"}},
		"observed for long":           {func(*pinner.Pinner) {}, time.Minute, false, nil},
		"the log has this version":    {func(p *pinner.Pinner) { p.Learn(start, map[string][]discoverer.Version{"g": {v2}}) }, 0, false, nil},
		"the log has nothing":         {func(p *pinner.Pinner) { p.Learn(start, nil) }, 0, true, []string{"g"}},
		"the log has another one":     {func(p *pinner.Pinner) { p.Learn(start, map[string][]discoverer.Version{"g": {v1}}) }, 0, true, nil},
		"it had another one before":   {func(p *pinner.Pinner) { p.Learn(start, map[string][]discoverer.Version{"g": {v1}}) }, time.Minute, true, nil},
		"it had another one long ago": {func(p *pinner.Pinner) { p.Learn(start, map[string][]discoverer.Version{"g": {v1}}) }, 2 * time.Minute, false, nil},
		"an instance knows":           {func(p *pinner.Pinner) { p.Learn(start, map[string][]discoverer.Version{"g": {v2}}) }, 0, false, nil},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := pinner.New()
			is.True(p.MustWrite(start, "g"))

			p.Observe(start, registry("v2"))
			x.learn(p)

			n := start.Add(x.at)
			is.Equal(p.MustWrite(n, "g"), x.must)
			is.Equal(p.Incomplete(n), x.incomplete)
		})
	}
}

func TestVersionsInUseOfAllGroups(t *testing.T) {
	is := is.New(t)
	p := pinner.New()
	p.Observe(start, registry("v1", "v2"))
	is.Equal(p.InUse(start), map[string][]discoverer.Version{"g": versions("v1", "v2")})

	p.Observe(start, registry("v2"))
	is.Equal(p.InUse(start), map[string][]discoverer.Version{"g": versions("v1", "v2")})
	is.Equal(p.InUse(start.Add(time.Minute)), map[string][]discoverer.Version{"g": versions("v2")})

	p.Observe(start.Add(time.Minute), registry())
	is.Equal(p.InUse(start.Add(2*time.Minute)), map[string][]discoverer.Version{})

	// What has just started does not vouch for a past that it does not know.
	p = pinner.New()
	p.Observe(start, registry("v1"))
	is.Equal(p.InUse(start), map[string][]discoverer.Version{})
}

// Guards against streams that begin at a version of which instances do not know that count their lists as up to date.
func TestJoiningVersions(t *testing.T) {
	const fresh = 2 * time.Second

	for name, x := range map[string]struct {
		// registries follow each other every 10 s, the last one at the given time before the question.
		registries [][]string
		after      time.Duration
		want       []string
	}{
		"the first list":               {[][]string{{"v1", "v2"}}, 0, nil},
		"one version":                  {[][]string{{"v1"}, {"v1", "v1"}}, 0, nil},
		"a second one":                 {[][]string{{"v1"}, {"v1", "v2"}}, fresh - 1, []string{"v2"}},
		"a second one, later":          {[][]string{{"v1"}, {"v1", "v2"}}, fresh, nil},
		"two more":                     {[][]string{{"v1"}, {"v1", "v2", "v3"}}, 0, []string{"v2", "v3"}},
		"in place of the other":        {[][]string{{"v1"}, {"v2"}}, 0, []string{"v2"}},
		"another target of it":         {[][]string{{"v1"}, {"v1", "v2"}, {"v1", "v2", "v2"}}, 0, nil},
		"it has gone":                  {[][]string{{"v1"}, {"v1", "v2"}, {"v1"}}, 0, nil},
		"it is back":                   {[][]string{{"v1"}, {"v1", "v2"}, {"v1"}, {"v1", "v2"}}, 0, nil},
		"it is back after a minute":    {[][]string{{"v1", "v2"}, {"v1"}, {"v1"}, {"v1"}, {"v1"}, {"v1"}, {"v1"}, {"v1", "v2"}}, 0, []string{"v2"}},
		"the first targets of a group": {[][]string{{}, {"v1"}}, 0, nil},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := pinner.New()
			n := start

			for i, l := range x.registries {
				n = start.Add(time.Duration(i) * 10 * time.Second)
				p.Observe(n, registry(l...))
			}

			o := p.Joining(n.Add(x.after), "g", fresh)
			slices.Sort(o)
			is.Equal(o, versions(x.want...))
			is.Equal(len(p.Joining(n, "another", fresh)), 0)
		})
	}
}
