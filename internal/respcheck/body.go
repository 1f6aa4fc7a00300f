package respcheck

import (
	"io"
	"net/http"

	"github.com/pkg/errors"
)

// CloseDelimited reports whether the body of a response has neither a length nor chunks, so that it ends with its connection.
func CloseDelimited(resp *http.Response) bool {
	return resp.Body != http.NoBody && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// Body returns the body of a response, which returns io.EOF only at the end of the complete body. awaitWrite returns the result of
// writing the request once that has ended; it is called at most once.
//
// The body of a response that is CloseDelimited is complete if the connection has ended without an error and the request was written
// without one: a socket reports a reset once, and if the write gets it, the read sees a plain end of the connection.
func Body(resp *http.Response, awaitWrite func() error) io.ReadCloser {
	if !CloseDelimited(resp) {
		return resp.Body
	}
	return &closeDelimitedBody{ReadCloser: resp.Body, awaitWrite: awaitWrite}
}

// closeDelimitedBody is a body that ends with its connection.
type closeDelimitedBody struct {
	io.ReadCloser
	awaitWrite func() error
	end        error // that reads return from now on; nil before the end
}

// Read implements io.Reader.
func (b *closeDelimitedBody) Read(p []byte) (int, error) {
	if b.end != nil {
		return 0, b.end
	}
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		err = b.endOfConnection()
	}
	b.end = err
	return n, err
}

// endOfConnection returns io.EOF if the end of the connection is that of the body.
func (b *closeDelimitedBody) endOfConnection() error {
	if err := b.awaitWrite(); err != nil {
		return errors.Wrap(err, "the connection ended before the request was written")
	}
	return io.EOF
}
