// Package rpc joins two processes of a fleet by JSON-RPC 2.0 over TCP. Both
// ends prove that they hold the fleet's secret before any other message, and
// every byte is counted.
package rpc

import (
	"bufio"
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/message"
)

const (
	// maxStranger bounds a message from a peer that has proved nothing, so
	// that a stranger cannot make a process hold memory.
	maxStranger = 4 << 10
	// maxFrame bounds a message from a peer of the fleet.
	maxFrame = 256 << 20
	// dialTimeout bounds the making of a connection: twice the longest way there and back,
	// between regions. A machine without power loses what opens a connection, and the
	// kernel says it again only after a second: keepers that came back after others
	// had dialled them heard of their leader up to a second after its election. A new
	// connection reaches them at once.
	dialTimeout  = 400 * time.Millisecond
	proveTimeout = 2 * time.Second
	writeTimeout = 5 * time.Second
	// acceptPause is kept after a failure to accept: what it lacked may be there then.
	acceptPause = 5 * time.Millisecond
	// maxCalls bounds the calls of one peer that run at a time.
	maxCalls = 256
)

// A Handler serves the messages of a peer. Notices arrive one at a time and in
// order; calls run beside each other.
type Handler interface {
	Call(ctx context.Context, peer *Conn, method string, params json.RawMessage) (any, error)
	Notify(peer *Conn, method string, params json.RawMessage)
}

// A Counter counts the bytes of a process's links.
type Counter struct {
	// Failed counts connections that could not be accepted.
	Failed   atomic.Int64
	Sent     atomic.Int64
	Received atomic.Int64
}

// A Secret proves that a process belongs to the fleet.
type Secret []byte

// A Conn is one end of a link.
type Conn struct {
	name  string
	rpc   *jsonrpc2.Conn
	codec *frameCodec
	proof *proof
}

// Name returns the name that the peer gave.
func (c *Conn) PeerName() string {
	return c.name
}

// Call sends a request and waits for its result.
func (c *Conn) Call(ctx context.Context, method string, params, result any) error {
	return fromWire(c.rpc.Call(ctx, method, params, result))
}

// Notify sends a notice.
func (c *Conn) Notify(method string, params any) error {
	return c.rpc.Notify(context.Background(), method, params)
}

// Close ends the link.
func (c *Conn) Close() {
	// A second close is the only error, and harmless.
	_ = c.rpc.Close()
}

// Done is closed when the link has ended.
func (c *Conn) Done() <-chan struct{} {
	return c.rpc.DisconnectNotify()
}

// Dial opens a link to address and returns once both ends have proved that
// they hold the secret. Ctx bounds the opening; the link lasts until Close.
func Dial(ctx context.Context, address, self string, secret Secret, h Handler, count *Counter) (*Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	raw, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", address, err)
	}
	c := newConn(context.WithoutCancel(ctx), raw, h, count, nil)
	ctx, cancel := context.WithTimeout(ctx, proveTimeout)
	defer cancel()
	if err := c.introduce(ctx, self, secret); err != nil {
		c.Close()
		return nil, fmt.Errorf("greet %s: %w", address, err)
	}
	return c, nil
}

// Serve accepts links until the listener closes. A connection that cannot be accepted,
// for want of descriptors or since its peer left at once, ends nothing: the next one may
// be, and a process that ended would come back to the same want.
func Serve(ctx context.Context, l net.Listener, self string, secret Secret, h Handler, count *Counter) error {
	for {
		raw, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			count.Failed.Add(1)
			time.Sleep(acceptPause)
			continue
		}
		p := &proof{self: self, secret: secret, nonce: nonce()}
		c := newConn(ctx, raw, h, count, p)
		time.AfterFunc(proveTimeout, func() {
			if !p.done.Load() {
				c.Close()
			}
		})
	}
}

func newConn(ctx context.Context, raw net.Conn, h Handler, count *Counter, p *proof) *Conn {
	c := &Conn{codec: &frameCodec{}, proof: p}
	c.codec.bound.Store(maxFrame)
	if p != nil {
		c.codec.bound.Store(maxStranger)
	}
	stream := jsonrpc2.NewBufferedStream(&countedConn{Conn: raw, count: count}, c.codec)
	serve := &server{conn: c, handler: h, slots: make(chan struct{}, maxCalls), ready: make(chan struct{})}
	c.rpc = jsonrpc2.NewConn(ctx, stream, serve, jsonrpc2.SetLogger(silent{}))
	close(serve.ready)
	return c
}

// silent drops the library's own log lines: each error reaches a caller.
type silent struct{}

func (silent) Printf(string, ...any) {}

// hello opens a link.
type hello struct {
	Version int    `json:"version"`
	Name    string `json:"name"`
	Nonce   string `json:"nonce"`
}

// welcome answers a hello.
type welcome struct {
	Version int    `json:"version"`
	Name    string `json:"name"`
	Nonce   string `json:"nonce"`
	Proof   string `json:"proof"`
}

// prove closes the greeting.
type prove struct {
	Proof string `json:"proof"`
}

// proof is the state of a greeting at the accepting end.
type proof struct {
	self   string
	secret Secret
	nonce  string
	peer   hello
	done   atomic.Bool
}

func (c *Conn) introduce(ctx context.Context, self string, secret Secret) error {
	mine := hello{Version: message.Version, Name: self, Nonce: nonce()}
	var theirs welcome
	if err := c.Call(ctx, message.MethodHello, mine, &theirs); err != nil {
		return err
	}
	if !secret.verify(theirs.Proof, "accept", mine.Nonce, theirs.Nonce) {
		return errProof
	}
	c.name = theirs.Name
	answer := prove{Proof: secret.prove("dial", mine.Nonce, theirs.Nonce)}
	return c.Call(ctx, message.MethodProve, answer, nil)
}

var errProof = fleet.NewError(fleet.KindBadProof, "give every process the same secret file", "the peer does not hold the fleet's secret")

func (s Secret) prove(role, a, b string) string {
	mac := hmac.New(sha256.New, s)
	// A hash never fails to take bytes.
	_, _ = fmt.Fprintf(mac, "%s|%s|%s", role, a, b)
	return hex.EncodeToString(mac.Sum(nil))
}

func (s Secret) verify(proof, role, a, b string) bool {
	return hmac.Equal([]byte(proof), []byte(s.prove(role, a, b)))
}

func nonce() string {
	return rand.Text()
}

// server hands the messages of one link to the handler.
type server struct {
	conn    *Conn
	handler Handler
	slots   chan struct{}
	ready   chan struct{}
}

// Handle implements jsonrpc2.Handler. The library calls it from the link's
// one reading goroutine.
func (s *server) Handle(ctx context.Context, rpc *jsonrpc2.Conn, req *jsonrpc2.Request) {
	<-s.ready
	params := json.RawMessage{}
	if req.Params != nil {
		params = *req.Params
	}
	p := s.conn.proof
	if p != nil && !p.done.Load() {
		result, err := s.greet(req.Method, params)
		reply(ctx, rpc, req, result, err)
		if err != nil {
			s.conn.Close()
		}
		return
	}
	if req.Notif {
		s.handler.Notify(s.conn, req.Method, params)
		return
	}
	s.slots <- struct{}{}
	go func() {
		defer func() { <-s.slots }()
		result, err := s.handler.Call(ctx, s.conn, req.Method, params)
		reply(ctx, rpc, req, result, err)
	}()
}

func (s *server) greet(method string, params json.RawMessage) (any, error) {
	p := s.conn.proof
	switch method {
	case message.MethodHello:
		if err := json.Unmarshal(params, &p.peer); err != nil {
			return nil, errProof
		}
		mark := p.secret.prove("accept", p.peer.Nonce, p.nonce)
		return welcome{Version: message.Version, Name: p.self, Nonce: p.nonce, Proof: mark}, nil
	case message.MethodProve:
		var answer prove
		err := json.Unmarshal(params, &answer)
		if err != nil || !p.secret.verify(answer.Proof, "dial", p.peer.Nonce, p.nonce) {
			return nil, errProof
		}
		s.conn.name = p.peer.Name
		s.conn.codec.bound.Store(maxFrame)
		p.done.Store(true)
		return struct{}{}, nil
	default:
		return nil, errProof
	}
}

func reply(ctx context.Context, rpc *jsonrpc2.Conn, req *jsonrpc2.Request, result any, err error) {
	if req.Notif {
		return
	}
	// A reply that cannot be sent shows to the caller as a broken link.
	if err != nil {
		_ = rpc.ReplyWithError(ctx, req.ID, toWire(err))
		return
	}
	_ = rpc.Reply(ctx, req.ID, result)
}

func toWire(err error) *jsonrpc2.Error {
	wire := &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: err.Error()}
	var kind *fleet.Error
	if errors.As(err, &kind) {
		wire.SetError(kind)
	}
	return wire
}

func fromWire(err error) error {
	var wire *jsonrpc2.Error
	if !errors.As(err, &wire) || wire.Data == nil {
		return err
	}
	var kind fleet.Error
	if json.Unmarshal(*wire.Data, &kind) != nil || kind.Kind == "" {
		return err
	}
	return &kind
}

// frameCodec writes each message behind its length and bounds what it reads.
type frameCodec struct {
	bound atomic.Int64
}

// WriteObject implements jsonrpc2.ObjectCodec.
func (*frameCodec) WriteObject(w io.Writer, obj any) error {
	return jsonrpc2.VarintObjectCodec{}.WriteObject(w, obj)
}

// ReadObject implements jsonrpc2.ObjectCodec.
func (f *frameCodec) ReadObject(r *bufio.Reader, v any) error {
	size, err := binary.ReadUvarint(r)
	if err != nil {
		return err
	}
	if size > uint64(f.bound.Load()) {
		return fleet.NewError(fleet.KindMalformed, "speak the fleet's protocol", "a message of %d bytes is too large", size)
	}
	body := io.LimitReader(r, int64(size))
	if err := json.NewDecoder(body).Decode(v); err != nil {
		return fmt.Errorf("decode a message of %d bytes: %w", size, err)
	}
	_, err = io.Copy(io.Discard, body)
	return err
}

// countedConn counts bytes and bounds how long a write may block on a peer
// that reads nothing.
type countedConn struct {
	net.Conn
	count *Counter
}

// Read implements io.Reader.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.count.Received.Add(int64(n))
	return n, err
}

// Write implements io.Writer.
func (c *countedConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(b)
	c.count.Sent.Add(int64(n))
	return n, err
}
