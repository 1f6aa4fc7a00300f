package platform

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/dandelionvane/dandelionvane/internal/standin"
)

func (p *Platform) handler() http.Handler {
	r := chi.NewRouter()
	for name := range p.feeds {
		r.Get("/v1/feeds/"+string(name), func(w http.ResponseWriter, r *http.Request) { p.serveFeed(w, r, name) })
		r.Put("/control/feeds/"+string(name), func(w http.ResponseWriter, r *http.Request) { p.servePublish(w, r, name) })
	}
	standin.HandleControl(r, p.Inject, p.Stats)
	return r
}

func (p *Platform) serveFeed(w http.ResponseWriter, r *http.Request, name Feed) {
	p.count(time.Now(), 1, 0)
	after := standin.QueryUint(r, "after")
	timeout := time.After(time.Duration(standin.QueryUint(r, "wait_ms")) * time.Millisecond)
	for {
		v, changed, up := p.view(name, r.Header.Get("X-Reader"))
		if !up {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		if v.revision > after {
			w.Header().Set("Content-Type", "application/json")
			_, _ = w.Write(v.body)
			return
		}
		p.count(time.Now(), 0, 1)
		select {
		case <-changed:
			p.count(time.Now(), 0, -1)
		case <-timeout:
			p.count(time.Now(), 0, -1)
			w.WriteHeader(http.StatusNotModified)
			return
		case <-r.Context().Done():
			p.count(time.Now(), 0, -1)
			return
		}
	}
}

func (p *Platform) servePublish(w http.ResponseWriter, r *http.Request, name Feed) {
	var value json.RawMessage
	if err := json.NewDecoder(r.Body).Decode(&value); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if _, err := p.Publish(name, r.URL.Query().Get("reader"), value); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
}
