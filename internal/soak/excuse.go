package soak

import "strings"

// cause is a set of circumstances that may explain how a request ended.
type cause uint32

// The circumstances. Those of a gateway concern the gateway to which the request was sent; see run.circumstances for
// those of endpoints.
const (
	gatewayKilled    cause = 1 << iota // the process was killed
	gatewayPaused                      // the process was paused, or had been until shortly before
	gatewayDown                        // the process accepts no new connections: killed, at the end of a planned stop, or starting
	graceOver                          // the end of the grace period of a planned stop
	endpointBroken                     // an endpoint broke off responses, or sent bytes that are none
	endpointFailing                    // an endpoint answered 500
	endpointLink                       // the link of an endpoint was cut, silent or slow
	endpointSilent                     // an endpoint was sound but silent or slow
	storeAway                          // the gateway could not read the store, or the store held an older copy
	keyUncertain                       // the request's key had been withdrawn, or was issued a moment before
	routeRemoved                       // the route was, or had been, missing in the configuration
	timeOver                           // the time limit of the route had passed
	closeAnnounced                     // the gateway had announced the end of the connection
	ownEnd                             // the caller closed its connection
	configChange                       // a configuration was published
	plannedStop                        // a planned stop within the grace period
	reload                             // the settings were reloaded
	serviceEmptied                     // the entries of the service's endpoints were removed
	routeStale                         // the route had been missing in a configuration that may be in force where the store is away
	gatewayThrottled                   // the process got a fifth of a processor
	routeTargets                       // the route may lead to another service
	lateInStop                         // so late in a planned stop that only a request that ends in time may be begun
	endpointEnded                      // the process of an endpoint had ended, and the next one had not started
	isQueryOfDeath                     // the request ends the processes of endpoints
	gatewayDisturbed = gatewayKilled | gatewayPaused
	brokenOff        = endpointBroken | endpointFailing | endpointLink | endpointEnded
)

var causeNames = []string{
	"gateway killed", "gateway paused", "gateway down", "grace period over", "endpoint broken", "endpoint failing", "endpoint's link disturbed", "endpoint silent",
	"store away", "key uncertain", "route removed", "time over", "close announced", "caller left", "configuration changed", "planned stop", "reload", "service emptied", "route back", "gateway throttled", "route moved", "late in stop",
	"endpoint ended", "query of death",
}

func (c cause) String() string {
	var names []string
	for i, n := range causeNames {
		if c&(1<<i) != 0 {
			names = append(names, n)
		}
	}
	if names == nil {
		return "nothing"
	}
	return strings.Join(names, ", ")
}

// excuses lists for each outcome the circumstances of which one must be present. Outcomes that need none are
// in expectedOutcomes. No change of the configuration, planned stop within the grace period, reload, silence of an
// endpoint or empty service excuses anything.
var excuses = [outcomeCount]cause{
	Unauthorized:    keyUncertain,
	NotFound:        routeRemoved,
	BodyLate:        timeOver | gatewayPaused,
	EndpointFailure: endpointFailing,
	Blocked:         isQueryOfDeath,
	BadGateway:      brokenOff | gatewayPaused | graceOver,
	GatewayTimeout:  timeOver | gatewayPaused,
	NotConnected:    gatewayDisturbed | gatewayDown,
	CutInRequest:    gatewayDisturbed | gatewayDown | graceOver,
	ClosedWhileIdle: gatewayDisturbed | graceOver | closeAnnounced,
	NoAnswerNew:     gatewayDisturbed,
	NoAnswerKept:    gatewayDisturbed,
	Truncated:       gatewayDisturbed | graceOver | brokenOff | timeOver,
	CallerDeadline:  gatewayPaused,
	CallerLeft:      ownEnd,
}

// expectedOutcomes need no excuse.
var expectedOutcomes = map[Outcome]bool{Answered: true, Refused: true}

// excused reports whether the circumstances of a request explain its outcome.
func excused(o Outcome, present cause) bool {
	return expectedOutcomes[o] || excuses[o]&present != 0
}
