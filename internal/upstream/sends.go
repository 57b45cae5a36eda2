package upstream

import "slices"

// Sends are the sends of one request so far. Each goes over a connection of its own: a response has the ID of
// its request, not of the send, so over a connection that has carried an earlier send, a late copy of
// the response to that one could be taken for the response to the next. Set ID before use.
type Sends struct {
	// ID is the ID of the request.
	ID string

	conns []*Conn
}

// add records that the request is sent over a connection.
func (s *Sends) add(conn *Conn) {
	s.conns = append(s.conns, conn)
	conn.lastID = s.ID
}

// mayConfuse reports whether a response that comes over a connection may be one to an earlier send of the
// request, or to another request of the same ID, which a caller sent right before it.
func (s *Sends) mayConfuse(conn *Conn) bool {
	return conn.lastID == s.ID || slices.Contains(s.conns, conn)
}
