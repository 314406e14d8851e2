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

// sendBooking sends a booking, sometimes twice concurrently with the same idempotency
// key, and checks that it ran only once.
func (d *Driver) sendBooking(c context.Context) {
	n := 1
	if d.chance(d.settings.DuplicateFraction) {
		n++
	}

	k := "booking-" + strconv.FormatUint(d.settings.Seed, 10) + "-" + strconv.Itoa(d.intN(1<<62)) //nolint:mnd // A random key.
	u := d.settings.Customers[d.intN(len(d.settings.Customers))]

	var g sync.WaitGroup

	for range n {
		g.Add(1)

		go func() {
			defer g.Done()
			d.sendBookingOnce(c, u, k)
		}()
	}

	g.Wait()
}

func (d *Driver) sendBookingOnce(c context.Context, customer, key string) {
	h := http.Header{"Content-Type": {"application/json"}}
	h.Set(exchanger.HeaderCustomer, customer)
	h.Set(exchanger.HeaderKey, key)
	h.Set(exchanger.HeaderDeadline, d.settings.Deadline.String())

	a := d.send(c, call{path: "/orders/riders", body: []byte(`{"rider":"` + key + `"}`), header: h, keyed: true}, readBody)

	var o struct {
		Key        string `json:"key"`
		Executions int    `json:"executions"`
	}

	if a.outcome == Served && (json.Unmarshal(a.body, &o) != nil || o.Key != key || o.Executions != 1) {
		a.outcome = Wrong
	}

	d.result.add(a.outcome, a.code, 0, a.total)
}

func readBody(r *http.Response) ([]byte, time.Time, error) {
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, time.Time{}, errors.Mark(err, errInterrupted)
	}

	return b, time.Now(), nil
}
