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

// Names returns answers by name in whose heads a name is not valid, with further header fields, each with its line break. Without the
// lines with these names, some have other bodies than those that were sent.
func Names(fields string) map[string]string {
	o := make(map[string]string)

	for kind, name := range map[string]string{
		"blank": "Odd Name", "blank at the end": "Odd ", "tab": "Odd\tName", "control byte": "Odd\x01Name", "carriage return": "Odd\rName",
		"zero byte": "Odd\x00Name", "byte of 255": "Odd\xffName", "empty": "", "bracket": "Odd(Name",
	} {
		o[kind] = "HTTP/1.1 200 OK\r\n" + fields + name + ": 1\r\n" + length
	}

	for _, s := range []string{"404 Not Found", "503 Service Unavailable"} {
		o["blank, status "+s] = "HTTP/1.1 " + s + "\r\n" + fields + "Odd : 1\r\n" + length
	}

	o["blank in the first name"] = "HTTP/1.1 200 OK\r\nOdd : 1\r\n" + fields + length
	o["blank in the last name"] = "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 4\r\nOdd : 1\r\n\r\n" + Body
	o["blank after the length's name"] = "HTTP/1.1 200 OK\r\n" + fields + "Content-Length : 3\r\n\r\nodd and more"
	o["blank after the coding's name"] = "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding : chunked\r\n\r\n4\r\n" + Body + "\r\n0\r\n\r\n"
	o["blank after the coding's name, with a length"] = "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding : chunked\r\nContent-Length: 14\r\n\r\n4\r\n" + Body + "\r\n0\r\n\r\n"

	return o
}

// Framings returns answers by name whose bodies have a transfer coding that their version does not know, with further header fields, each with its
// line break. The chunks are not the body.
func Framings(fields string) map[string]string {
	const (
		first  = "HTTP/1.0 200 OK\r\n"
		chunks = "4\r\n" + Body + "\r\n0\r\n\r\n"
	)

	o := map[string]string{
		"coding":                      first + fields + "Transfer-Encoding: chunked\r\n\r\n" + chunks,
		"coding in the first field":   first + "Transfer-Encoding: chunked\r\n" + fields + "\r\n" + chunks,
		"coding in small letters":     first + fields + "transfer-encoding:chunked\r\n\r\n" + chunks,
		"coding beside a length":      first + fields + "Content-Length: 14\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks,
		"another coding":              first + fields + "Transfer-Encoding: gzip, chunked\r\n\r\n" + chunks,
		"line breaks of one byte":     "HTTP/1.0 200 OK\n" + fields + "Transfer-Encoding: chunked\n\n" + chunks,
		"after an interim answer":     "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n" + first + fields + "Transfer-Encoding: chunked\r\n\r\n" + chunks,
		"after an old interim answer": "HTTP/1.0 100 Continue\r\n\r\n" + first + fields + "Transfer-Encoding: chunked\r\n\r\n" + chunks,
	}

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
