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

const ticketBatchSize = 5

// BookingClient sends bookings that must run at most once, each with a ticket.
type BookingClient struct {
	client  *Client
	results *Results
	path    string   // of the service's booking call
	tickets []string // unused
}

// NewBookingClient returns a booker that sends bookings to a path of a service.
func NewBookingClient(c *Client, r *Results, path string) *BookingClient {
	return &BookingClient{client: c, results: r, path: path}
}

// Book makes one booking and retries it with the same ticket until its outcome is final. It then sends a duplicate
// with that ticket, which must not run the booking again.
func (b *BookingClient) Book(ctx context.Context, booking string) {
	ctx, cancel := context.WithTimeout(ctx, b.client.RequestTimeout)
	defer cancel()
	ticket, err := b.ticket(ctx)
	if err != nil {
		b.results.addOutcome(notRun, fmt.Sprintf("no ticket for %s: %v", booking, err))
		return
	}
	o, detail := b.run(ctx, booking, ticket)
	b.results.addOutcome(o, detail)
	b.results.update(func(c *Counts) { c.Retries++ })
	if a, err := b.attempt(ctx, booking, ticket); err == nil && a.Run != 1 {
		b.results.addOutcome(wrong, fmt.Sprintf("the duplicate of %s was run %d", booking, a.Run))
	}
}

func (b *BookingClient) run(ctx context.Context, booking, ticket string) (outcome, string) {
	timeoutOutcome := notRun
	for {
		a, err := b.attempt(ctx, booking, ticket)
		if err == nil {
			return checkBooking(booking, a)
		}
		var p *problem
		delay := defaultRetryDelay
		if errors.As(err, &p) {
			b.results.addRefusal(p.Reason)
			delay = p.retryDelay()
		} else {
			b.results.update(func(c *Counts) { c.BrokenResponses++ })
		}
		if p != nil && p.Outcome == outcomeUnknown && p.RetryAfterMS == 0 {
			b.tickets = nil // the router that issued them has probably stopped
			return unknown, fmt.Sprintf("booking %s: %v", booking, err)
		}
		if p == nil || p.Outcome != outcomeNotRun {
			timeoutOutcome = unknown
		}
		ctxtime.Sleep(ctx, delay)
		if ctx.Err() != nil {
			return timeoutOutcome, fmt.Sprintf("booking %s timed out: %v", booking, err)
		}
		b.results.update(func(c *Counts) { c.Retries++ })
	}
}

func checkBooking(booking string, a service.Response) (outcome, string) {
	if a.Booking != booking || a.Run != 1 {
		return wrong, fmt.Sprintf("booking %s returned %+v", booking, a)
	}
	return answered, ""
}

func (b *BookingClient) attempt(ctx context.Context, booking, ticket string) (a service.Response, err error) {
	h := http.Header{headerBooking: {booking}, headerTicket: {ticket}}
	err = b.post(ctx, b.path, h, map[string]string{"booking": booking}, &a)
	return a, err
}

// ticket returns an unused ticket, after fetching a batch if there is none.
func (b *BookingClient) ticket(ctx context.Context) (string, error) {
	for len(b.tickets) == 0 {
		var got struct {
			Tickets []string `json:"tickets"`
		}
		err := b.post(ctx, "/v1/tickets", http.Header{}, map[string]int{"count": ticketBatchSize}, &got)
		if ctx.Err() != nil {
			return "", errors.Wrap(ctx.Err(), "loadtest: fetch tickets")
		}
		if err != nil {
			ctxtime.Sleep(ctx, time.Duration(ticketBatchSize)*defaultRetryDelay)
		}
		b.tickets = got.Tickets
	}
	t := b.tickets[0]
	b.tickets = b.tickets[1:]
	return t, nil
}

func (b *BookingClient) post(ctx context.Context, path string, h http.Header, body, result any) error {
	ctx, cancel := context.WithTimeout(ctx, b.client.IdleTimeout)
	defer cancel()
	payload, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	resp, err := b.client.send(ctx, path, h, payload)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	response, err := io.ReadAll(resp.Body)
	if err != nil {
		return errors.Wrap(err, "loadtest: read response")
	}
	return errors.Wrapf(json.Unmarshal(response, result), "loadtest: decode response %.200q", response)
}
