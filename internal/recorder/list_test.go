package recorder_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/recorder"
)

// instancesOf returns the list that a client reads from an answer.
func instancesOf(t *testing.T, answer string) (recorder.List, error) {
	t.Helper()

	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, answer) }))
	t.Cleanup(s.Close)

	r, stop := recorder.New(netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://")), "dc")
	t.Cleanup(stop)

	return r.Instances(t.Context(), 0)
}

// Guards against an entry of another writer that hides all others of the list, in this answer and in each later one.
func TestOddEntriesHideNoOthers(t *testing.T) {
	const sound = `{"name":"%s","address":"10.0.0.%d:80","role":"router","incarnation":%d}`

	for name, x := range map[string]struct {
		entry string
		valid bool
	}{
		"sound":                      {`{"name":"x","role":"engine","incarnation":18446744073709551615}`, true},
		"unknown fields":             {`{"name":"x","a":[{"b":1e400}]}`, true},
		"port too large":             {`{"name":"x","address":"10.0.0.9:65536"}`, false},
		"negative port":              {`{"name":"x","address":"10.0.0.9:-1"}`, false},
		"port with many digits":      {`{"name":"x","address":"10.0.0.9:` + strings.Repeat("9", 100_000) + `"}`, false},
		"no port":                    {`{"name":"x","address":"10.0.0.9"}`, false},
		"address of another type":    {`{"name":"x","address":[1]}`, false},
		"incarnation too large":      {`{"name":"x","incarnation":18446744073709551616}`, false},
		"incarnation beyond float64": {`{"name":"x","incarnation":1e400}`, false},
		"negative incarnation":       {`{"name":"x","incarnation":-1}`, false},
		"fractional incarnation":     {`{"name":"x","incarnation":0.5}`, false},
		"a million digits":           {`{"name":"x","incarnation":` + strings.Repeat("9", 1_000_000) + `}`, false},
		"deeply nested":              {strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000), false},
		"deeply nested field":        {`{"name":"x","role":` + strings.Repeat(`{"a":`, 100_000) + "1" + strings.Repeat("}", 100_000) + "}", false},
		"deeply nested unknown":      {`{"name":"x","y":` + strings.Repeat("[", 100_000) + strings.Repeat("]", 100_000) + "}", false},
		"string":                     {`"x"`, false},
		"number":                     {`1e400`, false},
		"empty array":                {`[]`, false},
		"null":                       {`null`, true},
		"empty":                      {`{}`, true},
		"not UTF-8":                  {"{\"name\":\"\xff\"}", true},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)

			l, err := instancesOf(t, fmt.Sprintf(`{"instances":[`+sound+",%s,"+sound+`],"version":7}`, "a", 1, 1, x.entry, "b", 2, 2))
			i.NoErr(err)
			i.Equal(l.Version, uint64(7))
			i.Equal(len(l.Invalid) == 0, x.valid)

			if x.valid {
				i.Equal(len(l.Instances), 3)
			} else {
				i.Equal(len(l.Instances), 2)
				i.Equal(len(l.Invalid), 1)
			}

			n := len(l.Instances)
			i.Equal(l.Instances[0].Name, "a")
			i.Equal(l.Instances[n-1].Address, netip.MustParseAddrPort("10.0.0.2:80"))
			i.Equal(l.Instances[n-1].Incarnation, uint64(2))
		})
	}
}

// Guards against an answer that was cut off and counts as the whole list.
func TestUnreadableLists(t *testing.T) {
	for name, x := range map[string]struct {
		answer string
		valid  bool
	}{
		"empty list":          {`{"version":3,"instances":[]}`, true},
		"no instances":        {`{"version":3,"instances":null}`, true},
		"whitespace":          {" { \"version\" : 3 ,\n \"instances\" : [ ] } \n", true},
		"no answer":           {``, false},
		"cut in a name":       {`{"version":3,"insta`, false},
		"cut before a list":   {`{"version":3,"instances":`, false},
		"cut in the list":     {`{"version":3,"instances":[`, false},
		"cut in an entry":     {`{"version":3,"instances":[{"name":"a"`, false},
		"cut after an entry":  {`{"version":3,"instances":[{"name":"a"}`, false},
		"cut before its end":  {`{"version":3,"instances":[]`, false},
		"followed by text":    {`{"version":3,"instances":[]}{}`, false},
		"array":               {`[]`, false},
		"null":                {`null`, false},
		"instances as object": {`{"version":3,"instances":{}}`, false},
		"instances as text":   {`{"version":3,"instances":"a"}`, false},
		"negative version":    {`{"version":-3,"instances":[]}`, false},
		"version too large":   {`{"version":1e400,"instances":[]}`, false},
		"brackets mixed":      {`{"version":3,"instances":[}]`, false},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)

			l, err := instancesOf(t, x.answer)
			i.Equal(err == nil, x.valid)

			if x.valid {
				i.Equal(l.Version, uint64(3))
				i.Equal(len(l.Instances), 0)

				return
			}

			i.True(errors.Is(err, recorder.ErrUncertain))
		})
	}
}
