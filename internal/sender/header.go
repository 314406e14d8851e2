package sender

import (
	"net/http"
	"strings"

	"github.com/auburntray/auburntray/internal/exchanger"
)

// isStripped reports whether a header field is not forwarded. These are the fields that
// concern one connection (RFC 9110, section 7.6.1), and those that the router exchanges
// with its callers or its targets.
func isStripped(name string) bool {
	switch http.CanonicalHeaderKey(name) {
	case "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Accept-Encoding",
		http.CanonicalHeaderKey(exchanger.HeaderPlacement), http.CanonicalHeaderKey(exchanger.HeaderDeadline),
		exchanger.TargetRequestID, exchanger.TargetPriority,
		exchanger.TargetRequests, exchanger.TargetIncarnation, exchanger.TargetLeaving, exchanger.TargetNotRun:
		return true
	}

	return false
}

// copyHeader copies to o the fields of h that may be forwarded. Fields listed in the Connection field are not
// forwarded either.
func copyHeader(o, h http.Header) {
	n := make(map[string]bool)

	for _, v := range h.Values("Connection") {
		for _, f := range strings.Split(v, ",") {
			n[http.CanonicalHeaderKey(strings.TrimSpace(f))] = true
		}
	}

	for k, v := range h {
		if !isStripped(k) && !n[k] {
			o[k] = append([]string(nil), v...)
		}
	}
}

// CopyAnswerHeader copies to o the fields of h, the header of a target's answer, that may be
// forwarded to the caller. The fields in which targets report their state to the router are omitted.
func CopyAnswerHeader(o, h http.Header) {
	copyHeader(o, h)
}
