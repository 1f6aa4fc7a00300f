package redeem

import (
	"encoding/base64"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/dandelionvane/dandelionvane/internal/wire"
)

// maxTicketTextBytes is the maximum length of an encoded ticket.
const maxTicketTextBytes = 512

// ErrMalformedTicket is returned for text that is not a valid ticket.
var ErrMalformedTicket = errors.New("redeem: malformed ticket")

var (
	ticketEncoding = base64.RawURLEncoding.Strict()
	ticketDecMode  = mustTicketDecMode()
)

func mustTicketDecMode() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: 16, MaxMapPairs: 16, MaxNestedLevels: 4}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

// FormatTicket returns the text form of a ticket, unpadded base64url of its CBOR encoding.
func FormatTicket(id wire.TicketID) string {
	b, err := cbor.Marshal(id)
	if err != nil {
		panic(errors.Wrap(err, "redeem: encode ticket")) // the encoding of a TicketID cannot fail
	}
	return ticketEncoding.EncodeToString(b)
}

// ParseTicket parses the text form of a ticket. All errors wrap ErrTicket.
func ParseTicket(s string) (wire.TicketID, error) {
	if len(s) > maxTicketTextBytes {
		return wire.TicketID{}, errors.Wrap(ErrMalformedTicket, "too long")
	}
	b, err := ticketEncoding.DecodeString(s)
	if err != nil {
		return wire.TicketID{}, errors.Wrap(ErrMalformedTicket, err.Error())
	}
	var id wire.TicketID
	if err := ticketDecMode.Unmarshal(b, &id); err != nil {
		return wire.TicketID{}, errors.Wrap(ErrMalformedTicket, err.Error())
	}
	if id.Issuer == "" {
		return wire.TicketID{}, errors.Wrap(ErrMalformedTicket, "no issuer")
	}
	return id, nil
}
