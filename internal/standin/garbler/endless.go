package garbler

import (
	"fmt"
	"io"
	"net/http"
	"strings"
)

// Endless returns by name what servers in trouble send without end, in place of an answer. The function writes until a write fails.
// The further header fields, each with its line break, are those of a sound answer.
func Endless() map[string]func(w io.Writer, fields string) {
	const ok = "HTTP/1.1 200 OK\r\n"

	repeat := func(begin, again string) func(w io.Writer, fields string) {
		return func(w io.Writer, fields string) {
			_, err := io.WriteString(w, strings.Replace(begin, "{fields}", fields, 1))
			for b := strings.Repeat(again, max(1, pieceBytes/len(again))); err == nil; {
				_, err = io.WriteString(w, b)
			}
		}
	}

	const junk = "x"

	chunks := ok + "{fields}Transfer-Encoding: chunked\r\n\r\n"
	chunk := fmt.Sprintf("%x\r\n%s\r\n", pieceBytes, strings.Repeat(junk, pieceBytes))
	events := ok + "{fields}Content-Type: text/event-stream\r\n\r\n"

	return map[string]func(w io.Writer, fields string){
		"status line":                 repeat("HTTP/1.1 200 ", junk),
		"no HTTP":                     repeat("", junk),
		"head of one field":           repeat(ok+"{fields}", "X-More: more\r\n"),
		"head of one line":            repeat(ok+"{fields}X-More: ", junk),
		"head of continued lines":     repeat(ok+"{fields}X-More: more\r\n", " more\r\n"),
		"head of many names":          endlessNames,
		"interim answers":             repeat("", "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"),
		"body in chunks":              repeat(chunks, chunk),
		"body in chunks of one byte":  repeat(chunks, "1\r\nx\r\n"),
		"extension of a chunk":        repeat(chunks+"1;", junk),
		"trailers":                    repeat(chunks+"0\r\n", "X-More: more\r\n"),
		"body with a length":          repeat(ok+"{fields}Content-Length: 1000000000000\r\n\r\n", junk),
		"body to the end":             repeat(ok+"{fields}\r\n", junk),
		"body of an error":            repeat("HTTP/1.1 500 Odd\r\n{fields}\r\n", junk),
		"body of a refusal":           repeat("HTTP/1.1 404 Not Found\r\n{fields}Transfer-Encoding: chunked\r\n\r\n", chunk),
		"events":                      repeat(events, "id: 1\ndata: {\"choices\":[{\"delta\":{\"content\":\"x\"}}]}\n\n"),
		"events without content":      repeat(events, "data: {}\n\n"),
		"comments":                    repeat(events, ": more\n\n"),
		"event of many lines":         repeat(events, "data: x\n"),
		"event of one line":           repeat(events+"data: ", junk),
		"empty lines between events":  repeat(events, "\n"),
		"events with growing content": repeat(events, "data: {\"choices\":[{\"delta\":{\"content\":\""+strings.Repeat(junk, pieceBytes)+"\"}}]}\n\n"),
	}
}

// pieceBytes is about how many bytes are written at once.
const pieceBytes = 32 << 10

// endlessNames writes a head whose fields have short names of their own.
func endlessNames(w io.Writer, fields string) {
	_, err := io.WriteString(w, "HTTP/1.1 200 OK\r\n"+fields)

	for n := 0; err == nil; {
		var b strings.Builder
		for b.Len() < pieceBytes {
			n++
			_, _ = fmt.Fprintf(&b, "%x:\r\n", n)
		}

		_, err = io.WriteString(w, b.String())
	}
}

// ServeEndless returns a handler that answers each request with f, with the further header fields that fields returns.
func ServeEndless(f func(w io.Writer, fields string), fields func(r *http.Request) string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // The client may have left.
		s := fields(r)

		n, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}

		f(n, s)
		_ = n.Close()
	})
}
