package loadtest

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/dandelionvane/dandelionvane/internal/ctxtime"
	"github.com/dandelionvane/dandelionvane/internal/standin/service"
)

const ticketBatch = 5

// Booker sends bookings that must run at most once, each under a ticket.
type Booker struct {
	client  *Client
	results *Results
	path    string // of the service's call
	tickets []string
}

// NewBooker returns a booker that calls a path of a service.
func NewBooker(c *Client, r *Results, path string) *Booker {
	return &Booker{client: c, results: r, path: path}
}

// Book makes one booking, retries it under the same ticket until its outcome is
// final, and then repeats it on purpose.
func (b *Booker) Book(ctx context.Context, booking string) {
	ctx, cancel := context.WithTimeout(ctx, b.client.RequestTimeout)
	defer cancel()
	ticket, err := b.ticket(ctx)
	if err != nil {
		b.results.end(notRun, fmt.Sprintf("no ticket for %s: %v", booking, err))
		return
	}
	o, detail := b.run(ctx, booking, ticket)
	b.results.end(o, detail)
	b.results.update(func(c *Counts) { c.Retries++ })
	if a, err := b.attempt(ctx, booking, ticket); err == nil && a.Run != 1 {
		b.results.end(wrong, fmt.Sprintf("the repeat of %s is run %d", booking, a.Run))
	}
}

func (b *Booker) run(ctx context.Context, booking, ticket string) (outcome, string) {
	given := notRun
	for {
		a, err := b.attempt(ctx, booking, ticket)
		if err == nil {
			return judgeBooking(booking, a)
		}
		var p *problem
		wait := defaultPause
		if errors.As(err, &p) {
			b.results.refused(p.Reason)
			wait = p.pause()
		} else {
			b.results.update(func(c *Counts) { c.BrokenResponses++ })
		}
		if p != nil && p.Outcome == outcomeUnknown && p.RetryAfterMS == 0 {
			b.tickets = nil // their issuer is likely gone
			return unknown, fmt.Sprintf("booking %s: %v", booking, err)
		}
		if p == nil || p.Outcome != outcomeNotRun {
			given = unknown
		}
		ctxtime.Sleep(ctx, wait)
		if ctx.Err() != nil {
			return given, fmt.Sprintf("booking %s given up: %v", booking, err)
		}
		b.results.update(func(c *Counts) { c.Retries++ })
	}
}

func judgeBooking(booking string, a service.Response) (outcome, string) {
	if a.Booking != booking || a.Run != 1 {
		return wrong, fmt.Sprintf("booking %s was answered %+v", booking, a)
	}
	return answered, ""
}

func (b *Booker) attempt(ctx context.Context, booking, ticket string) (a service.Response, err error) {
	h := http.Header{headerBooking: {booking}, headerTicket: {ticket}}
	err = b.post(ctx, b.path, h, map[string]string{"booking": booking}, &a)
	return a, err
}

// ticket returns an unused ticket and fetches a batch when none is left.
func (b *Booker) ticket(ctx context.Context) (string, error) {
	for len(b.tickets) == 0 {
		var got struct {
			Tickets []string `json:"tickets"`
		}
		err := b.post(ctx, "/v1/tickets", http.Header{}, map[string]int{"count": ticketBatch}, &got)
		if ctx.Err() != nil {
			return "", errors.Wrap(ctx.Err(), "loadtest: tickets")
		}
		if err != nil {
			ctxtime.Sleep(ctx, time.Duration(ticketBatch)*defaultPause)
		}
		b.tickets = got.Tickets
	}
	t := b.tickets[0]
	b.tickets = b.tickets[1:]
	return t, nil
}

func (b *Booker) post(ctx context.Context, path string, h http.Header, body, answer any) error {
	ctx, stop := context.WithTimeout(ctx, b.client.IdleTimeout)
	defer stop()
	sent, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	resp, err := b.client.send(ctx, path, h, sent)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	got, err := io.ReadAll(resp.Body)
	if err != nil {
		return errors.Wrap(err, "loadtest: read answer")
	}
	return errors.Wrapf(json.Unmarshal(got, answer), "loadtest: answer %.200q", got)
}
