package standin

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// A RequestCut is a place in the text of a request at which a caller pauses.
type RequestCut int

// The places at which a caller pauses.
const (
	CutBeforeRequest RequestCut = iota
	CutInRequestLine
	CutInHeaderLine // in the name of the first header field
	CutAfterHeaderLine
	CutInBody
)

// Split returns the parts of a request before and after the cut. The request must have a header field,
// and for CutInBody a body.
func (c RequestCut) Split(request string) (before, after string) {
	const lineEnd, headerEnd, nameBytes = "\r\n", "\r\n\r\n", 2
	requestLine := strings.Index(request, lineEnd) + len(lineEnd)
	cut := 0
	switch c {
	case CutInRequestLine:
		cut = requestLine / 2
	case CutInHeaderLine:
		cut = requestLine + nameBytes
	case CutAfterHeaderLine:
		cut = requestLine + strings.Index(request[requestLine:], lineEnd) + len(lineEnd)
	case CutInBody:
		header := strings.Index(request, headerEnd) + len(headerEnd)
		cut = header + (len(request)-header)/2
	default:
	}
	return request[:cut], request[cut:]
}

// A PartialCaller stands in for a caller that sends requests in parts on one connection.
type PartialCaller struct {
	conn   net.Conn
	reader *bufio.Reader
}

// A PartialResponse is what a PartialCaller got: a response, or an error and the status if the header
// was complete.
type PartialResponse struct {
	Status int // 0 if the connection ended before the end of the header
	Header http.Header
	Body   []byte
	Last   bool // the response announces that its connection closes
	Ended  time.Time
	Err    error
}

// DialPartialCaller connects a caller to an address.
func DialPartialCaller(address string) (*PartialCaller, error) {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return nil, fmt.Errorf("connect a caller: %w", err)
	}
	return &PartialCaller{conn: conn, reader: bufio.NewReader(conn)}, nil
}

// Send sends a part of a request.
func (c *PartialCaller) Send(part string) error {
	if _, err := io.WriteString(c.conn, part); err != nil {
		return fmt.Errorf("send a part of a request: %w", err)
	}
	return nil
}

// ReadResponse reads a response to its end, or until the connection ends or the timeout has passed.
func (c *PartialCaller) ReadResponse(timeout time.Duration) PartialResponse {
	var response PartialResponse
	response.Err = c.conn.SetReadDeadline(time.Now().Add(timeout))
	var parsed *http.Response
	if response.Err == nil {
		parsed, response.Err = http.ReadResponse(c.reader, nil)
	}
	if response.Err == nil {
		response.Status, response.Header, response.Last = parsed.StatusCode, parsed.Header, parsed.Close
		response.Body, response.Err = io.ReadAll(parsed.Body)
	}
	response.Ended = time.Now()
	return response
}

// Close closes the connection.
func (c *PartialCaller) Close() {
	_ = c.conn.Close() // the router may have closed it
}
