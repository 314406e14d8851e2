package gatekeeper

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/auburntray/auburntray/internal/cataloger"
	"github.com/auburntray/auburntray/internal/discoverer"
	"github.com/auburntray/auburntray/internal/standin/collector"
	"github.com/auburntray/auburntray/internal/watcher"
)

// Guards against valid calls that are refused because an invalid record was written under the
// configuration's key. The version in force remains, and the record is reported once although each
// full list repeats it.
func TestInvalidConfigIsSkipped(t *testing.T) {
	for name, x := range map[string]struct {
		value  string
		reason string
	}{
		"not decodable":   {`{`, "unreadable"},
		"typed reason":    {`"wrong"`, "wrongType"},
		"contradiction":   {`{"Version":9,"Groups":[{"Name":"g"},{"Name":"g"}]}`, "contradiction"},
		"very long error": {`{"Version":9,"Groups":[{"Name":"g"}],"Rules":[{"Name":"` + strings.Repeat("r", 10_000) + `"}]}`, "contradiction"},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			h := collector.New(t)
			f, c := newState(), counts{}
			f.onRegistryChange = func(*discoverer.Registry) {}
			s := &configHandler{state: f, key: "config", reporter: &invalidRecordReporter{stream: "config", counter: c}, decode: func(b []byte) (cataloger.Document, error) {
				if string(b) == `"wrong"` {
					return cataloger.Document{Version: 9}, &watcher.RecordError{Fault: watcher.WrongType, Field: "routes"}
				}

				var d cataloger.Document

				return d, json.Unmarshal(b, &d)
			}}

			s.Change(watcher.Record{Key: "config", Value: []byte(`{"Version":7}`), Offset: 0})
			s.Change(watcher.Record{Key: "other", Value: []byte(x.value), Offset: 1})
			i.Equal(len(c), 0)
			h.Reset()

			for range 3 {
				s.Change(watcher.Record{Key: "config", Value: []byte(x.value), Offset: 2})
				i.NoErr(s.Reset([]watcher.Record{{Key: "config", Value: []byte(x.value), Offset: 2}}, watcher.Position{Offset: 3}))
			}

			i.Equal(f.catalogVersion(), uint64(7))
			i.Equal(c, counts{"config " + x.reason: 1})
			i.Equal(len(h.AllEntries()), 1)

			e := h.LastEntry().Data
			i.Equal(e["event"], "catalogRefused")
			i.Equal(e["reason"], x.reason)
			i.Equal(e["offset"], int64(2))
			i.True(len(e["error"].(string)) < 300)

			if x.reason != "unreadable" {
				i.Equal(e["version"], uint64(9))
			}

			s.Change(watcher.Record{Key: "config", Value: []byte(`{"Version":10}`), Offset: 3})
			i.Equal(f.catalogVersion(), uint64(10))
			logrus.SetLevel(logrus.PanicLevel)
		})
	}
}
