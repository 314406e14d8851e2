package recoverer_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/gin-gonic/gin"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/auburntray/auburntray/internal/recoverer"
)

// Guards against a caller that takes a truncated answer for a complete one: when a handler
// panicked in the middle of an answer, an error text was appended and the answer ended regularly.
func TestPanics(t *testing.T) {
	gin.SetMode(gin.ReleaseMode)
	logrus.SetLevel(logrus.PanicLevel)

	tests := map[string]struct {
		handle   gin.HandlerFunc
		status   int
		body     string
		complete bool
	}{
		"no panic":                {handle: func(c *gin.Context) { c.String(http.StatusOK, "hello") }, status: 200, body: "hello", complete: true},
		"before the answer":       {handle: func(*gin.Context) { panic("a fault") }, status: 500, body: "broken", complete: true},
		"during the answer":       {handle: func(c *gin.Context) { c.String(http.StatusOK, "hel"); c.Writer.Flush(); panic("a fault") }, status: 200, body: "hel"},
		"abort before the answer": {handle: func(*gin.Context) { panic(http.ErrAbortHandler) }},
		"abort during the answer": {handle: func(c *gin.Context) { c.String(http.StatusOK, "hel"); c.Writer.Flush(); panic(http.ErrAbortHandler) }, status: 200, body: "hel"},
	}
	for name, x := range tests {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			g := gin.New()
			g.Use(recoverer.New(func(c *gin.Context) { c.String(http.StatusInternalServerError, "broken") }))
			g.NoRoute(x.handle)

			s := httptest.NewServer(g)
			defer s.Close()

			r, err := http.Get(s.URL)
			i.Equal(err == nil, x.status != 0)

			if err != nil {
				return
			}

			defer r.Body.Close() //nolint:errcheck // Read below.

			b, err := io.ReadAll(r.Body)
			i.Equal(err == nil, x.complete)
			i.Equal(r.StatusCode, x.status)
			i.Equal(string(b), x.body)
		})
	}
}
