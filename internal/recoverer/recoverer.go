// Package recoverer answers calls whose handling panicked.
package recoverer

import (
	"net/http"
	"runtime/debug"

	"github.com/gin-gonic/gin"
	"github.com/sirupsen/logrus"
)

// New returns a handler that has a function answer a call whose handling panicked. A call
// whose answer had begun is broken off, since what came after the part would read like its
// end. An abort on purpose goes on to the server, which closes the connection.
func New(answer func(c *gin.Context)) gin.HandlerFunc {
	return func(c *gin.Context) {
		defer func() {
			e := recover()
			if e == nil {
				return
			}

			if e == http.ErrAbortHandler { //nolint:errorlint,err113 // The server compares it so.
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
