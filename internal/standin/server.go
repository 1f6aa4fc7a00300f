package standin

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/pkg/errors"
)

// Server serves one handler on one listener.
type Server struct {
	ln   net.Listener
	http *http.Server
}

// Listen serves h on addr ("IP:port"; port 0 selects a free port).
func Listen(addr string, h http.Handler) (*Server, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, errors.Wrap(err, "standin: listen")
	}
	s := &Server{ln: ln, http: &http.Server{Handler: h}}
	go func() { _ = s.http.Serve(ln) }()
	return s, nil
}

// Addr returns the listener's IP:port.
func (s *Server) Addr() string { return s.ln.Addr().String() }

// Close closes the listener and all connections.
func (s *Server) Close() error { return s.http.Close() }

// HandleControl registers PUT /control/faults, whose JSON body replaces the injected faults, and
// GET /control/stats, which returns stats as JSON.
func HandleControl[F, S any](r chi.Router, inject func(F), stats func() S) {
	r.Put("/control/faults", func(w http.ResponseWriter, r *http.Request) {
		var f F
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		inject(f)
	})
	r.Get("/control/stats", func(w http.ResponseWriter, _ *http.Request) { WriteJSON(w, stats()) })
}

// WriteJSON writes v as a JSON response.
func WriteJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// RejectNotRun responds with 503 and the header that states that the request was not executed.
func RejectNotRun(w http.ResponseWriter) {
	w.Header().Set("X-Not-Run", "true")
	w.Header().Set("Retry-After", "1")
	http.Error(w, "not taken", http.StatusServiceUnavailable)
}

// QueryUint returns a query parameter as a number, or 0 if it is absent or invalid.
func QueryUint(r *http.Request, name string) uint64 {
	n, _ := strconv.ParseUint(r.URL.Query().Get(name), 10, 63)
	return n
}

// LoadReport is the response of an endpoint to GET /v1/load.
type LoadReport struct {
	Incarnation uint64 `json:"incarnation"`
	Running     int    `json:"running"`
	Queued      int    `json:"queued"`
	Capacity    int    `json:"capacity"`
	AgeMS       int64  `json:"age_ms"`
}

// NextIncarnation returns the incarnation of a process that starts now, greater than last, that of the previous process.
func NextIncarnation(last uint64) uint64 { return max(last+1, uint64(time.Now().UnixMilli())) }
