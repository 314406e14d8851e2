package messenger

import (
	"bufio"

	"github.com/auburntray/auburntray/internal/wire"
)

// Encode is encode for tests in the outer package.
var Encode = encode

// Decode is decode for tests in the outer package.
func Decode(r *bufio.Reader) (wire.Frame, int, error) {
	return decode(r, nil)
}
