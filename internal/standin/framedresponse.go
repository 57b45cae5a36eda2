package standin

import (
	"fmt"
	"net"
	"net/http"
	"strings"

	"laburnumfall/internal/fleet"
)

// A FramedResponse is a response with status 200 whose bytes on the connection are given. A target
// that breaks off a response may end the framing of its body or reset the connection.
type FramedResponse struct {
	Framing fleet.Framing
	Header  http.Header
	Body    string
	// Reset says that the connection is reset after the body, before the end of its framing.
	Reset bool
}

// WriteTo writes the response in place of that of a handler, and closes the connection.
func (r FramedResponse) WriteTo(w http.ResponseWriter) error {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return fmt.Errorf("take over the connection (serve HTTP/1.1 without TLS): %w", err)
	}
	defer func() { _ = conn.Close() }() // the response is written
	if tcpConn, ok := conn.(*net.TCPConn); ok && r.Reset {
		if err := tcpConn.SetLinger(0); err != nil {
			return err
		}
	}
	_, err = conn.Write([]byte(r.text()))
	return err
}

func (r FramedResponse) text() string {
	var text strings.Builder
	text.WriteString("HTTP/1.1 200 OK\r\n")
	_ = r.Header.Write(&text) // a strings.Builder returns no errors
	length := len(r.Body)
	if r.Reset {
		length++
	}
	switch r.Framing {
	case fleet.FramingLength:
		fmt.Fprintf(&text, "Content-Length: %d\r\n\r\n%s", length, r.Body)
	case fleet.FramingChunked:
		fmt.Fprintf(&text, "Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(r.Body), r.Body)
		if !r.Reset {
			text.WriteString("0\r\n\r\n")
		}
	default:
		text.WriteString("Connection: close\r\n\r\n" + r.Body)
	}
	return text.String()
}
