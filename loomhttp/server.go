package loomhttp

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"

	"swiftloom/loomkernel"
)

// drainInterval is the time between two checks whether all connections are closed.
const drainInterval = 10 * time.Millisecond

// Server serves callers on one listener by an http.Server, which can be replaced by one with
// other limits, and stops without losing a request. http.Server.Shutdown closes connections on
// which a part of a request has been read, drops requests that are read after its call, and
// waits for connections without any for five seconds.
//
// Start, Replace and Shutdown must not be called concurrently.
type Server struct {
	listener deadlineListener
	conns    *callerConns
	// accepting is the listener of the last of servers, the others of which go on with the
	// connections that they have.
	accepting *listener
	servers   []*http.Server
	// ended receives the result of each http.Server.
	ended chan error
}

// NewServer returns a server on l, which it closes at the end. l must have a method SetDeadline
// as *net.TCPListener has it.
func NewServer(l net.Listener) (*Server, error) {
	d, ok := l.(deadlineListener)
	if !ok {
		return nil, errors.NotValidf("listener of type %T without SetDeadline", l)
	}
	return &Server{listener: d, conns: newCallerConns(), ended: make(chan error, 1)}, nil
}

// Limit bounds what is held for the callers by b, and tells rejected what is shed or refused for
// it. It must be called before Start; rejected may be called concurrently and must not block.
func (s *Server) Limit(b *MemoryBudget, rejected func(Rejection)) {
	s.conns.budget, s.conns.rejected = b, rejected
}

// Start serves new connections by h, whose Handler, ConnState and ConnContext it replaces by
// functions that call them. All requests reach the Handler, "OPTIONS *" too, except those whose
// framing is ambiguous, which are answered with 400.
func (s *Server) Start(h *http.Server) {
	l := &listener{deadlineListener: s.listener, conns: s.conns}
	s.accepting, s.servers = l, append(s.servers, h)
	h.Handler = serveOpen(h.Handler)
	h.DisableGeneralOptionsHandler = true
	h.ConnContext = withConn(h.ConnContext)
	h.ConnState = recordState(h.ConnState)
	go func() { s.ended <- h.Serve(l) }()
}

// Replace serves new connections by h from now on.
func (s *Server) Replace(h *http.Server) error {
	if err := s.accepting.replace(); err != nil {
		return errors.Annotate(err, "stop accepting")
	}
	if err := <-s.ended; !errors.Is(err, net.ErrClosed) {
		return errors.Annotate(err, "serve")
	}
	if err := s.listener.SetDeadline(time.Time{}); err != nil {
		return errors.Annotate(err, "accept")
	}
	s.Start(h)
	return nil
}

// Ended returns a channel that receives the error with which the server has ended by itself.
func (s *Server) Ended() <-chan error {
	return s.ended
}

// Drained tells how a shutdown ended.
type Drained struct {
	// IdleClosed is the number of connections that were closed since they had no request.
	IdleClosed int
	// Cut is the number of connections that were closed with a request.
	Cut int
}

// Shutdown accepts no more connections than those in the kernel's queue, closes those without
// a request, the others after their response, and waits for that until ctx ends. Then it cuts
// those that are left.
func (s *Server) Shutdown(ctx context.Context) (Drained, error) {
	s.accepting.drain(time.Now())
	s.conns.drain()
	var acceptErr error
	select {
	case acceptErr = <-s.ended:
	case <-ctx.Done():
	}
	_ = s.listener.Close()
	err := s.awaitClosed(ctx)
	if err == nil && acceptErr != nil && !errors.Is(acceptErr, net.ErrClosed) {
		err = errors.Annotate(acceptErr, "accept")
	}
	open, idleClosed := s.conns.counts()
	s.Close()
	return Drained{IdleClosed: idleClosed, Cut: open}, err
}

// awaitClosed waits until no connection is open.
func (s *Server) awaitClosed(ctx context.Context) error {
	for {
		open, _ := s.conns.counts()
		if open == 0 {
			return nil
		}
		if err := loomkernel.Sleep(ctx, drainInterval); err != nil {
			return errors.Annotatef(err, "await the end of %d connections", open)
		}
	}
}

// Close cuts all connections.
func (s *Server) Close() {
	s.conns.isClosing.Store(true)
	_ = s.listener.Close()
	for _, h := range s.servers {
		_ = h.Close()
	}
}

// connKey is the context key of a request's connection.
type connKey struct{}

// withConn returns an http.Server.ConnContext function that adds the connection and calls next
// unless that is nil, with the connection as the listener of the Server has accepted it.
func withConn(next func(context.Context, net.Conn) context.Context) func(context.Context, net.Conn) context.Context {
	return func(ctx context.Context, c net.Conn) context.Context {
		accepted, ok := c.(*callerConn)
		if !ok {
			return ctx
		}
		ctx = context.WithValue(ctx, connKey{}, accepted)
		if next == nil {
			return ctx
		}
		return next(ctx, accepted.Conn)
	}
}

// recordState returns an http.Server.ConnState function that tells the connection and calls next
// unless that is nil.
func recordState(next func(net.Conn, http.ConnState)) func(net.Conn, http.ConnState) {
	return func(c net.Conn, state http.ConnState) {
		if accepted, ok := c.(*callerConn); ok {
			accepted.setState(state)
		}
		if next != nil {
			next(c, state)
		}
	}
}

// serveOpen returns a handler that passes on the requests of connections that are open and that end
// where all readers find their end. A request may have been read from a connection that Close has cut
// since.
func serveOpen(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*callerConn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		if !c.isOpen() {
			panic(http.ErrAbortHandler) //nolint:forbidigo // net/http offers no other way
		}
		if err := c.beginRequest(r); err != nil {
			// The position of the next request on the connection is unknown.
			w.Header().Set("Connection", "close")
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// ResetOnClose makes the operating system reset the connection of the request with the context ctx when
// it is closed.
func ResetOnClose(ctx context.Context) {
	c, ok := ctx.Value(connKey{}).(*callerConn)
	if !ok {
		return
	}
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}
