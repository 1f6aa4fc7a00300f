package soak

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/dandelionvane/dandelionvane/platform/platformtest"
)

// mode is the failure mode of an endpoint.
type mode int

const (
	modeHealthy    mode = iota
	modeFailing         // executes the request and answers 500
	modeClosing         // executes the request and closes the connection without a response
	modeHanging         // executes the request for hangDuration before it responds
	modeTruncating      // executes the request and closes the connection in the middle of the response body
	modePausing         // refuses requests and wants none from the gateway for pauseLength
	modeLeaving         // executes the request and says that it leaves
	modeCount           // of the modes above, among which endpointFailure chooses

	modeEndlessHead     = modeCount + iota // executes the request and sends fields of the head without end
	modeEndlessBody                        // executes the request and sends a body without end
	modeEndlessComments                    // executes the request and sends comments of a stream without end
	modeEarlyReset                         // executes the request, answers a part without a length before it has read it, and resets the connection
	modeEarlyAnswer                        // executes the request, answers a whole 500 with a length before it has read it, and resets the connection
	modeBrokenHead                         // executes the request and sends a head that is not valid
	modeLongEvent                          // executes the request and sends a part of a long event
	modeForeignLines                       // executes the request and ends a stream with text that is no event
)

const (
	hangDuration = 2 * time.Second
	// pauseLength is the time for which an endpoint in modePausing wants no requests from a gateway that it has refused
	// one of.
	pauseLength = 2 * time.Second

	// Responses without end are sent in chunks, of which one follows the other after endlessInterval (32 MB/s), for up to
	// endlessDuration.
	endlessChunk    = 128 << 10
	endlessInterval = 4 * time.Millisecond
	endlessDuration = 10 * time.Second
)

var modeNames = map[mode]string{
	modeHealthy: "sound", modeFailing: "failing", modeClosing: "closing", modeHanging: "hanging", modeTruncating: "truncating the response",
	modePausing: "pausing", modeLeaving: "leaving", modeEndlessHead: "endless head", modeEndlessBody: "endless body", modeEndlessComments: "endless comments",
	modeEarlyReset: "reset during the upload", modeEarlyAnswer: "early answer", modeBrokenHead: "broken head", modeLongEvent: "long event",
	modeForeignLines: "foreign lines",
}

func (m mode) String() string { return modeNames[m] }

// cause returns the circumstance that a mode is for the requests at the endpoint's service, 0 for none.
func (m mode) cause() cause {
	switch m {
	case modeFailing, modeEarlyAnswer:
		return endpointFailing
	case modeClosing, modeTruncating, modeEndlessHead, modeEndlessBody, modeEndlessComments, modeEarlyReset, modeBrokenHead, modeLongEvent, modeForeignLines:
		return endpointBroken
	case modeHanging:
		return endpointSilent
	default:
		return 0
	}
}

// respondEndlessly sends a response of a mode until the connection is closed or endlessDuration has passed, and
// reports whether the mode is such a mode.
func respondEndlessly(w http.ResponseWriter, m mode, id string) bool {
	var more string
	switch m {
	case modeEndlessHead:
		more = strings.Repeat("Filler: "+strings.Repeat("x", 54)+"\r\n", endlessChunk/64)
	case modeEndlessBody:
		more = strings.Repeat("x", endlessChunk)
	case modeEndlessComments:
		more = strings.Repeat(": "+strings.Repeat("x", 61)+"\n", endlessChunk/64)
	default:
		return false
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return true // the gateway has closed the connection
	}
	defer conn.Close()
	head := http.Header{}
	platformtest.StampResponse(head, id)
	if m == modeEndlessComments {
		head.Set("Content-Type", "text/event-stream")
	}
	_ = conn.SetDeadline(time.Now().Add(endlessDuration))
	_, err = fmt.Fprint(conn, "HTTP/1.1 200 OK\r\n")
	if err == nil {
		err = head.Write(conn)
	}
	if err == nil && m != modeEndlessHead {
		_, err = fmt.Fprint(conn, "\r\n")
	}
	for err == nil {
		_, err = io.WriteString(conn, more) // fails when the gateway has closed the connection, or at the deadline
		time.Sleep(endlessInterval)
	}
	return true
}
