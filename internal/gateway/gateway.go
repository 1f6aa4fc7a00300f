// Package gateway assembles one gateway process: the control state, which one goroutine
// owns, and around it the server for callers, the client of the platform's store and
// the exchange with peers.
package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/control"
	"github.com/dandelionvane/dandelionvane/internal/ingress"
	"github.com/dandelionvane/dandelionvane/internal/published"
)

// storePeriod is the time between two reads of the store.
const storePeriod = 400 * time.Millisecond

// Options is what a process needs beside its settings.
type Options struct {
	Settings Settings
	Protocol published.Protocol
	Dialect  ingress.Dialect
}

type process struct {
	opts   Options
	loop   *loop
	server *ingress.Server
	front  *http.Server
	ready  *http.Server
	failed chan error
}

// Run runs a gateway until ctx ends and its planned stop is complete.
func Run(ctx context.Context, o Options) error {
	p := &process{opts: o, failed: make(chan error, 4)}
	p.loop = newLoop(control.New(control.Options{
		Instance:     o.Settings.Instance,
		DataCentre:   o.Settings.DataCentre,
		StrictRevoke: o.Settings.Bounds.StrictRevoke,
		BeliefLimit:  o.Settings.Bounds.RevokeInForce - time.Second,
		LoadMultiple: 1.5,
		LoadSlack:    3,
	}))
	p.server = ingress.New(p.loop, o.Dialect)
	return p.run(ctx)
}

func (p *process) run(ctx context.Context) error {
	work, cancel := context.WithCancel(context.Background())
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() { p.loop.run(work) })
	wg.Go(func() { p.follow(work) })
	p.front = &http.Server{Handler: p.server, ReadHeaderTimeout: 5 * time.Second}
	p.ready = &http.Server{Handler: p.readyHandler()}
	if err := p.listen(p.front, p.opts.Settings.Listen.Callers); err != nil {
		return err
	}
	if err := p.listen(p.ready, p.opts.Settings.Listen.Balancer); err != nil {
		return err
	}
	if err := p.listen(&http.Server{Handler: http.NotFoundHandler()}, p.opts.Settings.Listen.Control); err != nil {
		return err
	}
	err := p.wait(ctx)
	cancel()
	wg.Wait()
	return err
}

func (p *process) readyHandler() http.Handler {
	r := chi.NewRouter()
	r.Get(p.opts.Dialect.ReadyPath(), p.server.ServeReady)
	return r
}

func (p *process) listen(s *http.Server, addr string) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return errors.Wrap(err, "gateway: listen")
	}
	go func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			p.failed <- err
		}
	}()
	return nil
}

// wait returns after a planned stop, or when a listener failed.
func (p *process) wait(ctx context.Context) error {
	select {
	case err := <-p.failed:
		return err
	case <-ctx.Done():
	}
	p.server.Stop()
	p.loop.Do(func(s *control.State, _ boottime.Instant) { s.Stop() })
	time.Sleep(2500 * time.Millisecond)
	stop, cancel := context.WithTimeout(context.Background(), p.opts.Settings.Bounds.StopGrace-3*time.Second)
	defer cancel()
	if err := p.front.Shutdown(stop); err != nil {
		klog.ErrorS(err, "requests were cut off by the end of the grace period")
	}
	return nil
}

// follow hands what the store publishes to the control state.
func (p *process) follow(ctx context.Context) {
	client := published.NewClient(p.opts.Settings.Store.Addr, p.opts.Protocol)
	defer client.Close()
	f := published.NewFollower(client, storePeriod)
	f.Run(ctx, p.adopt, func(err error) { klog.ErrorS(err, "the store cannot be read") })
}

func (p *process) adopt(u published.Update) {
	pub := control.Publication{Revision: u.Revision, Confirmed: u.Confirmed, Whole: u.Whole}
	for _, it := range u.Items {
		r, err := p.opts.Protocol.DecodeItem(it)
		if err != nil {
			klog.ErrorS(err, "an item of the store cannot be used", "key", it.Key)
		}
		if r != nil {
			pub.Records = append(pub.Records, r)
		}
	}
	p.loop.Do(func(s *control.State, now boottime.Instant) { s.Publish(now, pub) })
}
