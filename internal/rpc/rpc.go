// Package rpc connects two processes of a fleet by JSON-RPC 2.0 over TCP. Each end proves that it
// holds the fleet's secret before any other message is accepted. All bytes are counted.
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
	// maxUnauthenticatedFrame bounds a message, in bytes, from a peer that has not authenticated
	// yet, so that an unknown peer cannot make a process allocate much memory.
	maxUnauthenticatedFrame = 4 << 10
	// maxFrame bounds a message, in bytes, from an authenticated peer.
	maxFrame = 256 << 20
	// dialTimeout bounds the time to connect. It is twice the longest round trip between regions.
	// A SYN that is sent to a machine without power is lost, and the kernel repeats it only
	// after a second. With a longer timeout, a keeper that restarted after others had dialed it
	// learned of the leader up to a second after the election. A new dial reaches it at once.
	dialTimeout      = 400 * time.Millisecond
	handshakeTimeout = 2 * time.Second
	// arrivedTimeout is how long a call whose time is up waits for a result that has arrived to be
	// read.
	arrivedTimeout = 50 * time.Millisecond
	// acceptRetryDelay is the delay after a failed accept; the missing resource, such as a file
	// descriptor, may be available by then.
	acceptRetryDelay = 5 * time.Millisecond
	// maxConcurrentCalls bounds the calls of one peer that run at the same time.
	maxConcurrentCalls = 256
)

// A Handler handles the messages of a peer. Notify is called sequentially and in the order of the
// notifications; Call is called concurrently.
type Handler interface {
	Call(ctx context.Context, peer *Conn, method string, params json.RawMessage) (any, error)
	Notify(peer *Conn, method string, params json.RawMessage)
}

// A Counter counts the bytes of all connections of a process.
type Counter struct {
	// Failed is the number of connections that could not be accepted.
	Failed   atomic.Int64
	Sent     atomic.Int64
	Received atomic.Int64
}

// A Secret is the key by which processes of a fleet authenticate each other.
type Secret []byte

// A Conn is one end of a connection.
type Conn struct {
	name      string
	rpc       *jsonrpc2.Conn
	codec     *frameCodec
	handshake *serverHandshake
}

// PeerName returns the name that the peer gave in the handshake.
func (c *Conn) PeerName() string {
	return c.name
}

// Call sends a request and waits for its result. An error that the peer's handler returned as a
// fleet.Error is returned as one. If the deadline of ctx passes, a result that has arrived is still
// returned: after a stall of this process, it may be unread.
func (c *Conn) Call(ctx context.Context, method string, params, result any) error {
	call, err := c.rpc.DispatchCall(ctx, method, params)
	if err != nil {
		return decodeError(err)
	}
	err = call.Wait(ctx, result)
	if errors.Is(err, context.DeadlineExceeded) {
		lateCtx, cancel := context.WithTimeout(context.Background(), arrivedTimeout)
		defer cancel()
		err = call.Wait(lateCtx, result)
	}
	return decodeError(err)
}

// Notify sends a notification, which has no response.
func (c *Conn) Notify(method string, params any) error {
	return c.rpc.Notify(context.Background(), method, params)
}

// Close closes the connection.
func (c *Conn) Close() {
	// The only error is that it is closed already, which is harmless.
	_ = c.rpc.Close()
}

// Done returns a channel that is closed when the connection has ended.
func (c *Conn) Done() <-chan struct{} {
	return c.rpc.DisconnectNotify()
}

// Dial connects to address and returns once both ends have proved that they hold the secret. The
// context bounds only the connection setup; the connection lasts until Close.
func Dial(ctx context.Context, address, self string, secret Secret, handler Handler, counter *Counter) (*Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	netConn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", address, err)
	}
	conn := newConn(context.WithoutCancel(ctx), netConn, handler, counter, nil)
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	if err := conn.authenticate(ctx, self, secret); err != nil {
		conn.Close()
		return nil, fmt.Errorf("authenticate with %s: %w", address, err)
	}
	return conn, nil
}

// Serve accepts connections until the listener closes. It continues if a connection cannot be
// accepted, because file descriptors ran out or the peer left at once: the next accept may succeed,
// and a restarted process would run into the same shortage.
func Serve(ctx context.Context, listener net.Listener, self string, secret Secret, handler Handler, counter *Counter) error {
	for {
		netConn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			counter.Failed.Add(1)
			time.Sleep(acceptRetryDelay)
			continue
		}
		handshake := &serverHandshake{self: self, secret: secret, nonce: newNonce()}
		conn := newConn(ctx, netConn, handler, counter, handshake)
		time.AfterFunc(handshakeTimeout, func() {
			if !handshake.done.Load() {
				conn.Close()
			}
		})
	}
}

func newConn(ctx context.Context, netConn net.Conn, handler Handler, counter *Counter, handshake *serverHandshake) *Conn {
	conn := &Conn{codec: &frameCodec{}, handshake: handshake}
	conn.codec.maxSize.Store(maxFrame)
	if handshake != nil {
		conn.codec.maxSize.Store(maxUnauthenticatedFrame)
	}
	stream := jsonrpc2.NewBufferedStream(&countedConn{Conn: netConn, counter: counter}, conn.codec)
	dispatch := &dispatcher{conn: conn, handler: handler, callSlots: make(chan struct{}, maxConcurrentCalls), ready: make(chan struct{})}
	conn.rpc = jsonrpc2.NewConn(ctx, stream, dispatch, jsonrpc2.SetLogger(discardLogger{}))
	close(dispatch.ready)
	return conn
}

// discardLogger drops the log lines of the library, since every error is returned to a caller.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

// helloRequest is the first message of a handshake, sent by the dialing end.
type helloRequest struct {
	Version int    `json:"version"`
	Name    string `json:"name"`
	Nonce   string `json:"nonce"`
}

// helloResponse answers a helloRequest and proves that the accepting end holds the secret.
type helloResponse struct {
	Version int    `json:"version"`
	Name    string `json:"name"`
	Nonce   string `json:"nonce"`
	Proof   string `json:"proof"`
}

// proveRequest ends a handshake. It proves that the dialing end holds the secret.
type proveRequest struct {
	Proof string `json:"proof"`
}

// serverHandshake is the state of a handshake at the accepting end.
type serverHandshake struct {
	self   string
	secret Secret
	nonce  string
	peer   helloRequest
	done   atomic.Bool
}

// authenticate does the handshake at the dialing end.
func (c *Conn) authenticate(ctx context.Context, self string, secret Secret) error {
	clientHello := helloRequest{Version: message.Version, Name: self, Nonce: newNonce()}
	var serverHello helloResponse
	if err := c.Call(ctx, message.MethodHello, clientHello, &serverHello); err != nil {
		return err
	}
	if !secret.verify(serverHello.Proof, "accept", clientHello.Nonce, serverHello.Nonce) {
		return errBadProof
	}
	c.name = serverHello.Name
	clientProof := proveRequest{Proof: secret.sign("dial", clientHello.Nonce, serverHello.Nonce)}
	return c.Call(ctx, message.MethodProve, clientProof, nil)
}

var errBadProof = fleet.NewError(fleet.KindBadProof, "give every process the same secret file", "the peer does not hold the fleet's secret")

// sign returns the proof that a process in this role, "dial" or "accept", holds the secret. The
// nonces of both ends are new for each connection, which prevents replays.
func (s Secret) sign(role, dialerNonce, acceptorNonce string) string {
	mac := hmac.New(sha256.New, s)
	// Writing to a hash never fails.
	_, _ = fmt.Fprintf(mac, "%s|%s|%s", role, dialerNonce, acceptorNonce)
	return hex.EncodeToString(mac.Sum(nil))
}

func (s Secret) verify(proof, role, dialerNonce, acceptorNonce string) bool {
	return hmac.Equal([]byte(proof), []byte(s.sign(role, dialerNonce, acceptorNonce)))
}

func newNonce() string {
	return rand.Text()
}

// dispatcher passes the messages of one connection to the handler.
type dispatcher struct {
	conn      *Conn
	handler   Handler
	callSlots chan struct{}
	ready     chan struct{}
}

// Handle implements jsonrpc2.Handler. The library calls it from the only goroutine that reads the
// connection.
func (s *dispatcher) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	<-s.ready
	params := json.RawMessage{}
	if req.Params != nil {
		params = *req.Params
	}
	handshake := s.conn.handshake
	if handshake != nil && !handshake.done.Load() {
		result, err := s.handshake(req.Method, params)
		reply(ctx, conn, req, result, err)
		if err != nil {
			s.conn.Close()
		}
		return
	}
	if req.Notif {
		s.handler.Notify(s.conn, req.Method, params)
		return
	}
	s.callSlots <- struct{}{}
	go func() {
		defer func() { <-s.callSlots }()
		result, err := s.handler.Call(ctx, s.conn, req.Method, params)
		reply(ctx, conn, req, result, err)
	}()
}

// handshake handles a message of a peer that has not authenticated yet.
func (s *dispatcher) handshake(method string, params json.RawMessage) (any, error) {
	handshake := s.conn.handshake
	switch method {
	case message.MethodHello:
		if err := json.Unmarshal(params, &handshake.peer); err != nil {
			return nil, errBadProof
		}
		serverProof := handshake.secret.sign("accept", handshake.peer.Nonce, handshake.nonce)
		return helloResponse{Version: message.Version, Name: handshake.self, Nonce: handshake.nonce, Proof: serverProof}, nil
	case message.MethodProve:
		var clientProof proveRequest
		err := json.Unmarshal(params, &clientProof)
		if err != nil || !handshake.secret.verify(clientProof.Proof, "dial", handshake.peer.Nonce, handshake.nonce) {
			return nil, errBadProof
		}
		s.conn.name = handshake.peer.Name
		s.conn.codec.maxSize.Store(maxFrame)
		handshake.done.Store(true)
		return struct{}{}, nil
	default:
		return nil, errBadProof
	}
}

func reply(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request, result any, err error) {
	if req.Notif {
		return
	}
	// If the reply cannot be sent, the caller sees a broken connection.
	if err != nil {
		_ = conn.ReplyWithError(ctx, req.ID, encodeError(err))
		return
	}
	_ = conn.Reply(ctx, req.ID, result)
}

// encodeError returns the error that is sent to the peer; a fleet.Error is sent with all its fields.
func encodeError(err error) *jsonrpc2.Error {
	rpcError := &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: err.Error()}
	var fleetError *fleet.Error
	if errors.As(err, &fleetError) {
		rpcError.SetError(fleetError)
	}
	return rpcError
}

// decodeError returns the fleet.Error that the peer sent, or the error itself if there is none.
func decodeError(err error) error {
	var rpcError *jsonrpc2.Error
	if !errors.As(err, &rpcError) || rpcError.Data == nil {
		return err
	}
	var fleetError fleet.Error
	if json.Unmarshal(*rpcError.Data, &fleetError) != nil || fleetError.Kind == "" {
		return err
	}
	return &fleetError
}

// frameCodec prefixes each message with its length and bounds the messages that it reads.
type frameCodec struct {
	maxSize atomic.Int64
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
	if size > uint64(f.maxSize.Load()) {
		return fleet.NewError(fleet.KindMalformed, "speak the fleet's protocol", "a message of %d bytes is too large", size)
	}
	body := io.LimitReader(r, int64(size))
	if err := json.NewDecoder(body).Decode(v); err != nil {
		return fmt.Errorf("decode a message of %d bytes: %w", size, err)
	}
	_, err = io.Copy(io.Discard, body)
	return err
}
