// Package garbler makes answers that are not valid HTTP, as servers in trouble send them. It is used in tests.
package garbler

import (
	"fmt"
	"net/http"
)

// length ends a head. Its body is Body.
const length = "Content-Length: 4\r\n\r\n" + Body

// Body is the body of each answer that has one. No caller may get it.
const Body = "odd\n"

// Statuses returns answers by name whose first lines are not valid, with further header fields, each with its line break.
func Statuses(fields string) map[string]string {
	o := make(map[string]string)

	for _, s := range []string{"000", "-00", "+20", "001", "099", "101", "600", "999", "20", "2000", "abc", ""} {
		o["status "+s] = "HTTP/1.1 " + s + " Odd\r\n" + fields + length
	}

	o["no status"] = "HTTP/1.1\r\n" + fields + length
	o["version 3"] = "HTTP/3.1 200 OK\r\n" + fields + length
	o["version 0"] = "HTTP/0.9 200 OK\r\n" + fields + length

	return o
}

// Serve returns a handler that answers each request with the bytes that answer returns for it, and closes the connection.
func Serve(answer func(r *http.Request) string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b := answer(r)

		n, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}

		_, _ = fmt.Fprint(n, b) // The client may have left.
		_ = n.Close()
	})
}
