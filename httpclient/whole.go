package httpclient

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/galenaarch/galenaarch/framing"
)

// writeEndTimeout bounds how long the end of a close-delimited body waits for the end of the
// request: the transport has closed the connection by then.
const writeEndTimeout = time.Second

// errWriteUnknown reports a request of which it is not known whether it was sent.
var errWriteUnknown = errors.New("the request was not sent in time")

// wholeTransport lets only whole responses end without an error.
type wholeTransport struct{ next http.RoundTripper }

// Whole returns next with the rules of package framing for its responses. net/http takes any
// three digits for a status, and the end of a connection that broke while the request was
// being sent for the end of a body without a length.
func Whole(next http.RoundTripper) http.RoundTripper { return &wholeTransport{next} }

// RoundTrip implements http.RoundTripper.
func (t *wholeTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	sent := &sentRequest{}
	trace := &httptrace.ClientTrace{
		GotConn:        func(httptrace.GotConnInfo) { sent.begin() },
		WroteRequest:   func(info httptrace.WroteRequestInfo) { sent.end(info.Err) },
		Got1xxResponse: sent.checkInterim,
	}
	response, err := t.next.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		return nil, err
	}
	var responses framing.ResponseReader
	if _, err := responses.IsFinal(response.StatusCode, response.Header, response.TransferEncoding); err != nil {
		return nil, eris.Wrapf(errors.Join(err, response.Body.Close()), "response from %s", r.URL.Host)
	}
	if framing.CloseDelimited(response) && response.Close {
		response.Body = &closeDelimitedBody{ReadCloser: response.Body, ctx: r.Context(), address: r.URL.Host, sent: sent}
	}
	return response, nil
}

// CloseIdleConnections closes the idle connections, for http.Client.
func (t *wholeTransport) CloseIdleConnections() {
	if next, ok := t.next.(interface{ CloseIdleConnections() }); ok {
		next.CloseIdleConnections()
	}
}

// sentRequest is how far the newest sending of a request got; net/http may send one again.
type sentRequest struct {
	mu sync.Mutex
	// done is closed when the request was written or that failed; nil before it has a connection.
	done  chan struct{}
	ended bool
	err   error
	// responses are those received on the connection.
	responses framing.ResponseReader
}

// checkInterim is called by net/http for each interim response.
func (s *sentRequest) checkInterim(status int, h textproto.MIMEHeader) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, err := s.responses.IsFinal(status, http.Header(h), nil)
	return err
}

func (s *sentRequest) begin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.done, s.ended, s.err, s.responses = make(chan struct{}), false, nil, framing.ResponseReader{}
}

func (s *sentRequest) end(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.done == nil || s.ended {
		return
	}
	s.ended, s.err = true, err
	close(s.done)
}

// await returns the error of the sending after its end.
func (s *sentRequest) await(ctx context.Context) error {
	s.mu.Lock()
	done := s.done
	s.mu.Unlock()
	timer := time.NewTimer(writeEndTimeout)
	defer timer.Stop()
	select {
	case <-done:
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return errWriteUnknown
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err
}

// closeDelimitedBody is a body that ends with its connection.
type closeDelimitedBody struct {
	io.ReadCloser
	ctx     context.Context
	address string
	sent    *sentRequest
	// checked is set after the first end, whose result is checkErr.
	checked  bool
	checkErr error
}

// Read implements io.Reader.
func (b *closeDelimitedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if !b.checked {
		b.checked, b.checkErr = true, framing.CheckClose(b.sent.await(b.ctx), 0)
	}
	if b.checkErr != nil {
		return n, eris.Wrapf(b.checkErr, "read response from %s", b.address)
	}
	return n, err
}
