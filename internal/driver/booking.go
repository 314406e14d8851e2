package driver

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburntray/auburntray/internal/exchanger"
)

// book sends a booking, sometimes twice at once, and checks that it ran once.
func (d *Driver) book(c context.Context) {
	n := 1
	if d.chance(d.settings.RepeatPart) {
		n++
	}

	k := "booking-" + strconv.FormatUint(d.settings.Seed, 10) + "-" + strconv.Itoa(d.intN(1<<62)) //nolint:mnd // A name.
	u := d.settings.Customers[d.intN(len(d.settings.Customers))]

	var g sync.WaitGroup

	for range n {
		g.Add(1)

		go func() {
			defer g.Done()
			d.bookOnce(c, u, k)
		}()
	}

	g.Wait()
}

func (d *Driver) bookOnce(c context.Context, customer, key string) {
	h := http.Header{"Content-Type": {"application/json"}}
	h.Set(exchanger.HeaderCustomer, customer)
	h.Set(exchanger.HeaderKey, key)
	h.Set(exchanger.HeaderDeadline, d.settings.Deadline.String())

	a := d.send(c, call{path: "/orders/riders", body: []byte(`{"rider":"` + key + `"}`), header: h, keyed: true}, readWhole)

	var o struct {
		Key        string `json:"key"`
		Executions int    `json:"executions"`
	}

	if a.outcome == Served && (json.Unmarshal(a.body, &o) != nil || o.Key != key || o.Executions != 1) {
		a.outcome = Wrong
	}

	d.result.add(a.outcome, a.code, 0, a.total)
}

func readWhole(r *http.Response) ([]byte, time.Time, error) {
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, time.Time{}, errors.Mark(err, errCut)
	}

	return b, time.Now(), nil
}
