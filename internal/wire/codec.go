package wire

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// MaxFrameBytes is the maximum size of an encoded frame. Decode rejects larger ones.
const MaxFrameBytes = 4 << 20

// ErrMalformed is returned for input that is not a valid frame.
var ErrMalformed = errors.New("wire: malformed frame")

type envelope struct {
	_      struct{} `cbor:",toarray"`
	Kind   Kind
	Header Header
	Body   cbor.RawMessage
}

var decMode = mustDecMode()

func mustDecMode() cbor.DecMode {
	m, err := cbor.DecOptions{
		MaxArrayElements: 1 << 17,
		MaxMapPairs:      1 << 17,
		MaxNestedLevels:  16,
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

// Encode returns the CBOR encoding of a frame.
func Encode(f Frame) ([]byte, error) {
	message := f.Message
	if status, ok := message.(Status); ok {
		message = status.withCarrier()
	}
	body, err := cbor.Marshal(message)
	if err != nil {
		return nil, errors.Wrap(err, "wire: encode body")
	}
	encoded, err := cbor.Marshal(envelope{Kind: f.Message.Kind(), Header: f.Header, Body: body})
	return encoded, errors.Wrap(err, "wire: encode frame")
}

// Decode parses an encoded frame. All errors wrap ErrMalformed.
func Decode(b []byte) (Frame, error) {
	if len(b) > MaxFrameBytes {
		return Frame{}, errors.Wrap(ErrMalformed, "frame too large")
	}
	var env envelope
	if err := decMode.Unmarshal(b, &env); err != nil {
		return Frame{}, errors.Wrap(ErrMalformed, err.Error())
	}
	m, err := decodeBody(env.Kind, env.Body)
	if err != nil {
		return Frame{}, errors.Wrap(ErrMalformed, err.Error())
	}
	return Frame{Header: env.Header, Message: m}, nil
}

func decodeBody(k Kind, b []byte) (Message, error) {
	switch k {
	case KindClaim:
		return decodeAs[Claim](b)
	case KindClaimAck:
		return decodeAs[ClaimAck](b)
	case KindLeaseRequest:
		return decodeAs[LeaseRequest](b)
	case KindLeaseReply:
		return decodeAs[LeaseReply](b)
	case KindLeaseHandover:
		return decodeAs[LeaseHandover](b)
	case KindLeaseUpdate:
		return decodeAs[LeaseUpdate](b)
	case KindBorrow:
		return decodeAs[Borrow](b)
	case KindBorrowReply:
		return decodeAs[BorrowReply](b)
	case KindRedeem:
		return decodeAs[Redeem](b)
	case KindRedeemReply:
		return decodeAs[RedeemReply](b)
	case KindSettle:
		return decodeAs[Settle](b)
	case KindFeedPull:
		return decodeAs[FeedPull](b)
	case KindFeedPush:
		return decodeAs[FeedPush](b)
	case KindLoadGossip:
		return decodeAs[LoadGossip](b)
	case KindRedemptionHandover:
		return decodeAs[RedemptionHandover](b)
	case KindTransfer:
		return decodeAs[Transfer](b)
	case KindSettleAck:
		return decodeAs[SettleAck](b)
	case KindStatus:
		return decodeStatus(b)
	case KindStreamOrigins:
		return decodeAs[StreamOrigins](b)
	case KindOriginQuery:
		return decodeAs[OriginQuery](b)
	case KindOriginReply:
		return decodeAs[OriginReply](b)
	case KindCrashEvidence:
		return decodeAs[CrashEvidence](b)
	default:
		return nil, errors.Errorf("unknown message kind %d", k)
	}
}

func decodeStatus(b []byte) (Message, error) {
	var s Status
	if err := decMode.Unmarshal(b, &s); err != nil {
		return nil, err
	}
	s.takeBacklog()
	return s, nil
}

func decodeAs[T Message](b []byte) (Message, error) {
	var m T
	if err := decMode.Unmarshal(b, &m); err != nil {
		return nil, err
	}
	return m, nil
}
