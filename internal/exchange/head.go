package exchange

import (
	"bufio"
	"bytes"
	"io"
	"math"
	"net/http"

	"github.com/pkg/errors"

	"github.com/dandelionvane/dandelionvane/internal/respcheck"
)

// Bounds on what precedes the body of a response. The head that stays in memory while the body is
// read takes at most maxHeadBytes and about 100 bytes for each of maxHeadFields.
const (
	maxHeadBytes  = 16 << 10 // of the head and of all interim responses before it
	maxHeadFields = 256      // of the head, and of each interim response
	maxInterim    = 16       // interim (1xx) responses before the head
)

// Errors of responses that exceed a bound before their body. The connection is closed.
var (
	ErrHeadTooLarge   = errors.New("the head of the response is too large")
	ErrTooManyInterim = errors.New("too many interim responses")
)

// headReader reads a connection up to a number of bytes, beyond which it returns ErrHeadTooLarge. It keeps what it has read until end is
// called, from where on nothing is bounded.
type headReader struct {
	r        io.Reader
	left     int64 // bytes that may still be read
	exceeded bool
	ended    bool
	raw      bytes.Buffer // what was read before the end
}

// end marks the end of the head.
func (h *headReader) end() {
	h.left = math.MaxInt64
	h.ended = true
	h.raw = bytes.Buffer{}
}

// Read implements io.Reader.
func (h *headReader) Read(b []byte) (int, error) {
	if h.left <= 0 {
		h.exceeded = true
		return 0, ErrHeadTooLarge
	}
	n, err := h.r.Read(b[:min(int64(len(b)), h.left)])
	h.left -= int64(n)
	if !h.ended {
		h.raw.Write(b[:n])
	}
	return n, err
}

// bytes returns what was read of the head. br is the buffer that the head was read through.
func (h *headReader) bytes(br *bufio.Reader) []byte { return h.raw.Bytes()[:h.raw.Len()-br.Buffered()] }

// readResponse reads the head of the final response. The body of the returned response is not
// bounded.
func readResponse(conn io.Reader, httpReq *http.Request) (*http.Response, error) {
	resp, _, err := readBufferedResponse(conn, httpReq)
	return resp, err
}

// readBufferedResponse does so and also returns the buffer that the body is read from.
func readBufferedResponse(conn io.Reader, httpReq *http.Request) (*http.Response, *bufio.Reader, error) {
	head := &headReader{r: conn, left: maxHeadBytes}
	br := bufio.NewReaderSize(head, readBufferBytes)
	resp, err := readFinalHead(head, br, httpReq)
	return resp, br, err
}

func readFinalHead(head *headReader, br *bufio.Reader, httpReq *http.Request) (*http.Response, error) {
	for range maxInterim + 1 {
		resp, err := http.ReadResponse(br, httpReq)
		switch {
		case head.exceeded: // err may be about the part that was read
			return nil, ErrHeadTooLarge
		case err != nil:
			return nil, err
		case fieldCount(resp.Header) > maxHeadFields:
			return nil, ErrHeadTooLarge
		}
		if err := respcheck.Head(resp); err != nil {
			return nil, err
		}
		switch {
		case resp.StatusCode >= http.StatusOK:
			if err := respcheck.Framing(resp, head.bytes(br)); err != nil {
				return nil, err
			}
			head.end()
			return resp, nil
		case resp.StatusCode == http.StatusSwitchingProtocols:
			return nil, errors.New("the endpoint switched protocols")
		}
	}
	return nil, ErrTooManyInterim
}

func fieldCount(h http.Header) int {
	n := 0
	for _, values := range h {
		n += len(values)
	}
	return n
}
