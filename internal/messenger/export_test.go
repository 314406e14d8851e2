package messenger

import (
	"bufio"

	"github.com/auburntray/auburntray/internal/wire"
)

// Encode exports encode for tests.
var Encode = encode

// Decode exports decode for tests.
func Decode(r *bufio.Reader) (wire.Frame, int, error) {
	f, n, release, err := (&decoder{reader: r, most: MaxFrame}).decode()
	if err == nil {
		release()
	}

	return f, n, err
}
