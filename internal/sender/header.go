package sender

import (
	"net/http"
	"strings"

	"github.com/auburntray/auburntray/internal/exchanger"
)

// kept holds the header fields that belong to one connection and are not passed
// on (RFC 9110, section 7.6.1), and those that are meant for the router.
func kept(name string) bool {
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

// copyHeader copies the fields that are passed on.
func copyHeader(o, h http.Header) {
	n := make(map[string]bool)

	for _, v := range h.Values("Connection") {
		for _, f := range strings.Split(v, ",") {
			n[http.CanonicalHeaderKey(strings.TrimSpace(f))] = true
		}
	}

	for k, v := range h {
		if !kept(k) && !n[k] {
			o[k] = append([]string(nil), v...)
		}
	}
}

// CopyAnswer copies the fields of a target's answer that go to the caller. What
// targets tell the router about themselves stays here.
func CopyAnswer(o, h http.Header) {
	copyHeader(o, h)
}
