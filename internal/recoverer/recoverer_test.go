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

// A fault of the program shows in the handling of one call, before or in the middle of its
// answer. A caller that had a part of the answer got an error's text behind it and an
// ordinary end, and took the two for the whole.
func TestPanics(t *testing.T) {
	gin.SetMode(gin.ReleaseMode)
	logrus.SetLevel(logrus.PanicLevel)

	tests := map[string]struct {
		handle gin.HandlerFunc
		status int
		body   string
		whole  bool
	}{
		"none":               {handle: func(c *gin.Context) { c.String(http.StatusOK, "hello") }, status: 200, body: "hello", whole: true},
		"before the answer":  {handle: func(*gin.Context) { panic("a fault") }, status: 500, body: "broken", whole: true},
		"in the answer":      {handle: func(c *gin.Context) { c.String(http.StatusOK, "hel"); c.Writer.Flush(); panic("a fault") }, status: 200, body: "hel"},
		"abort on purpose":   {handle: func(*gin.Context) { panic(http.ErrAbortHandler) }},
		"abort in an answer": {handle: func(c *gin.Context) { c.String(http.StatusOK, "hel"); c.Writer.Flush(); panic(http.ErrAbortHandler) }, status: 200, body: "hel"},
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
			i.Equal(err == nil, x.whole)
			i.Equal(r.StatusCode, x.status)
			i.Equal(string(b), x.body)
		})
	}
}
