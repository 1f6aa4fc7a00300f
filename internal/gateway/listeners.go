package gateway

import (
	"net/http"
	"time"
)

// Bounds of the listeners for the balancer, for peers and for operators, whose requests are small.
const (
	maxInternalHeadBytes = 16 << 10
	internalReadTimeout  = 10 * time.Second // of a whole request, with its body; also between two requests
	internalWriteTimeout = 10 * time.Second // of a response, from the end of the request's head; pulls end after pullTimeout
)

// newInternalServer returns a server for the balancer, for peers or for operators.
func newInternalServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:        h,
		MaxHeaderBytes: maxInternalHeadBytes,
		ReadTimeout:    internalReadTimeout,
		WriteTimeout:   internalWriteTimeout,
	}
}
