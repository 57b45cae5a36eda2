package fleet

// A Framing is how a response states where its body ends.
type Framing string

// The framings of HTTP/1.1 responses.
const (
	// FramingLength is a body of a stated length.
	FramingLength Framing = "length"
	// FramingChunked is a body in chunks, the last of which is empty.
	FramingChunked Framing = "chunked"
	// FramingClose is a body that ends with its connection.
	FramingClose Framing = "close"
)
