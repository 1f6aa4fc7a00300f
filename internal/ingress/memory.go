package ingress

import (
	"net/http"

	"github.com/pkg/errors"

	"github.com/dandelionvane/dandelionvane/internal/bytebudget"
	"github.com/dandelionvane/dandelionvane/internal/callerconn"
	"github.com/dandelionvane/dandelionvane/internal/exchange"
)

// Bounds on the memory of bodies, for the smallest instance, which has 184 MiB.
//
// The garbage collector lets the heap grow to twice what is live, so 92 MiB may be live: 48 MiB for
// large bodies, 25 MiB for the freeBodyBytes of the request and the response of 200 requests at
// once, and 19 MiB for everything else.
const (
	requestBudgetBytes  = 24 << 20 // of the bodies of all requests together, a third for the largest one
	responseBudgetBytes = 24 << 20 // of the bodies of all buffered responses together, likewise, and of large events of streams
	freeBodyBytes       = 64 << 10 // of each body, without a reservation from a budget

	// defaultMaxRequestBytes limits the body of a request if the published limits don't.
	defaultMaxRequestBytes = 4 << 20
	// maxBufferedResponseBytes limits the body of a response that is not an event stream.
	maxBufferedResponseBytes = 8 << 20
)

// memory bounds the memory of the bodies of all requests and responses, and of the events of streams.
type memory struct{ requests, responses bytebudget.Budget }

func newMemory() *memory {
	return &memory{
		requests:  bytebudget.Budget{Limit: requestBudgetBytes},
		responses: bytebudget.Budget{Limit: responseBudgetBytes},
	}
}

// SetBudgets bounds the number of callers' connections, and the memory for what is not admitted yet or not read by callers.
// bodyShare is the memory of the instance as a part of the smallest usual one's; the budgets for large bodies shrink with it. It must
// be called before Serve.
func (s *Server) SetBudgets(conns int, unadmitted *callerconn.Budget, bodyShare float64) {
	s.callers.maxConns, s.callers.unadmitted = conns, unadmitted
	s.memory.requests.Limit = int64(min(bodyShare, 1) * requestBudgetBytes)
	s.memory.responses.Limit = int64(min(bodyShare, 1) * responseBudgetBytes)
}

// requestBodyLimit returns the limit on the body of a request. published is 0 if there is none.
func requestBodyLimit(published int64) int64 {
	if published <= 0 {
		return defaultMaxRequestBytes
	}
	return published
}

// readRequest reads the body of a caller's request, of up to maxBytes. It is nil if there is none. The errors of
// package bytebudget are returned unchanged.
func (m *memory) readRequest(w http.ResponseWriter, r *http.Request, maxBytes int64) (*bytebudget.Body, error) {
	if r.Body == http.NoBody {
		return nil, nil
	}
	body, err := m.requests.Read(http.MaxBytesReader(w, r.Body, maxBytes), bytebudget.Bounds{
		MaxBytes: maxBytes, FreeBytes: freeBodyBytes, Length: r.ContentLength,
	})
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, bytebudget.ErrTooLarge
	}
	return body, err
}

// readResponse reads the body of an endpoint's response.
func (m *memory) readResponse(resp *exchange.Response) (*bytebudget.Body, error) {
	return m.responses.Read(resp.Body, bytebudget.Bounds{
		MaxBytes: maxBufferedResponseBytes, FreeBytes: freeBodyBytes, Length: resp.Length,
	})
}

// releaseBodies returns the memory of the request's body and of a deferred response.
func (c *call) releaseBodies() {
	c.body.Release()
	c.deferFailure(nil)
}
