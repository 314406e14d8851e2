package quarantiner_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/digester"
	"github.com/auburntray/auburntray/internal/discoverer"
	"github.com/auburntray/auburntray/internal/quarantiner"
)

// Guards against customers that are sharded too late or without need at instances that learn of crashes from others: only the
// second and the third crash with a call are repeated, and none that was cleared since.
func TestOccurrences(t *testing.T) {
	for name, x := range map[string]struct {
		crashes int
		served  bool
		want    []bool
	}{
		"one crash":                 {crashes: 1, want: []bool{false}},
		"two crashes":               {crashes: 2, want: []bool{false, true}},
		"crashes after quarantine":  {crashes: 5, want: []bool{false, true, true, false, false}},
		"served after two of these": {crashes: 2, served: true, want: []bool{false, false}},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			q := quarantiner.New(quarantiner.DefaultSettings())

			for n := range x.crashes {
				v, _ := q.RecordCrash(start().Add(time.Duration(n)*time.Second), call, discoverer.Name(n+1))
				i.Equal(v.Repeated, n == 1 || n == 2) // What the instance that detected the crash decides by.
			}

			if x.served {
				q.RecordServed(call)
			}

			var got []bool
			for _, o := range q.Occurrences(q.RecordsOf([]digester.Digest{call})[0]) {
				got = append(got, o.Repeated)
			}

			i.Equal(got, x.want)
		})
	}
}
