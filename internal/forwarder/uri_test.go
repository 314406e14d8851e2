package forwarder_test

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against a path that reaches the target with other bytes than the caller has sent.
func TestPathIsForwardedUnchanged(t *testing.T) {
	for name, uri := range map[string]string{
		"plain":             "/once/a?b=c",
		"not encoded":       `/once/a|b"{c}^` + "`",
		"encoded":           "/once/%7C%2f%2F",
		"both":              "/once/%7C|",
		"query not encoded": `/once/a?q="{|}"`,
		"empty query":       "/once/a?",
		"slashes":           "/once//a//",
		"bytes above ASCII": "/once/\xc3\xa9\xff",
		"dots":              "/once/../once/./x",
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			y := &target{answer: answerOK}
			g := newGateway(t, y)

			n, err := net.Dial("tcp", strings.TrimPrefix(g.URL, "http://"))
			i.NoErr(err)

			defer n.Close() //nolint:errcheck // A connection of the test itself.

			_, _ = fmt.Fprintf(n, "POST %s HTTP/1.1\r\nHost: app.example\r\nId: call-1\r\nKey: key-1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", uri)

			b, err := io.ReadAll(n)
			i.NoErr(err)
			i.True(strings.HasPrefix(string(b), "HTTP/1.1 200"))
			i.Equal(y.calls[0].path, uri)
		})
	}
}
