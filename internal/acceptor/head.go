package acceptor

import (
	"net/http"
	"strings"
)

const (
	// usualHeadBytes and usualHeadFields are what a head may have without a reservation beyond that of its call.
	usualHeadBytes  = 16 << 10
	usualHeadFields = 64
	// fieldBytes is what a header field takes in memory besides its bytes, and partBytes what a part of a value takes that commas separate.
	fieldBytes = 256
	partBytes  = 64
	// memoryWait is the Retry-After, in seconds, of a head for which there is no memory.
	memoryWait = "0.25"
)

// headSize is the size of a head, or of what has arrived of it.
type headSize struct {
	bytes, fields, parts int64
}

// sizeOf returns the size of a request's head.
func sizeOf(r *http.Request) headSize {
	s := headSize{bytes: int64(len(r.RequestURI))}

	for k, l := range r.Header {
		for _, v := range l {
			s.fields++
			s.bytes += int64(len(k) + len(v))
			s.parts += int64(strings.Count(v, ","))
		}
	}

	return s
}

// beyondUsual returns how many bytes of memory the head takes beyond the usual.
func (s headSize) beyondUsual() int64 {
	return max(s.bytes+s.fields*fieldBytes+s.parts*partBytes-usualHeadBytes-usualHeadFields*fieldBytes, 0)
}
