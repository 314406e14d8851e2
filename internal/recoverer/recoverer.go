// Package recoverer provides middleware that recovers from panics in handlers.
package recoverer

import (
	"net/http"
	"runtime/debug"

	"github.com/gin-gonic/gin"
	"github.com/sirupsen/logrus"
)

// New returns middleware that logs a panic of a later handler and answers the call with the
// given function. If the answer had already begun, it aborts the connection instead, since the
// caller would take further text for the end of the answer. http.ErrAbortHandler is passed
// to the server, which closes the connection.
func New(answer func(c *gin.Context)) gin.HandlerFunc {
	return func(c *gin.Context) {
		defer func() {
			e := recover()
			if e == nil {
				return
			}

			if e == http.ErrAbortHandler { //nolint:errorlint,err113 // net/http compares it with ==, too.
				panic(e)
			}

			logrus.WithFields(logrus.Fields{"event": "callPanicked", "error": e, "stack": string(debug.Stack())}).Error()

			if c.Writer.Written() {
				panic(http.ErrAbortHandler)
			}

			answer(c)
		}()

		c.Next()
	}
}
