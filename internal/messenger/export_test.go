package messenger

// Names of unexported functions for tests in the outer package.
var (
	Encode = encode
	Decode = decode
)
