package platform

import (
	"context"
	"net/http"
	"sync"

	"github.com/dandelionvane/dandelionvane/internal/core"
	"github.com/dandelionvane/dandelionvane/internal/httpcall"
)

// Client watches the platform's feeds.
type Client struct {
	cfg   Config
	post  func(core.Event)
	http  *http.Client
	gate  gate
	feeds []*feed
}

// New returns a client that passes the values that it reads to post, which may block.
func New(cfg Config, parse ParseConfig, post func(core.Event)) *Client {
	client := &Client{
		cfg:  cfg,
		post: post,
		http: httpcall.NewClient(&http.Transport{}),
	}
	client.feeds = []*feed{
		{client: client, name: "configuration", decode: configDecoder(parse)},
		{client: client, name: "instances", decode: decodeInstances},
		{client: client, name: "endpoints", decode: decodeEndpoints},
	}
	return client
}

// Watch starts or stops watching. It never blocks.
func (c *Client) Watch(enable bool) { c.gate.set(enable) }

// Run reads each feed once, then watches them while enabled, until ctx ends.
func (c *Client) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, f := range c.feeds {
		wg.Go(func() { f.run(ctx) })
	}
	wg.Wait()
	c.http.CloseIdleConnections()
}
