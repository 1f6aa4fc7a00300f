package soak

import (
	"slices"
	"time"
)

// mix is a version of the mix of faults. A seed plays the same faults only in the mix in which it has failed, so a mix
// is never changed: new faults come with a new mix.
type mix struct {
	faults       []fault       // chosen with equal probability; one that is listed twice is chosen twice as often
	idleTimeout  time.Duration // published idle timeout of callers' connections, 0 for none
	burstCallers int           // number of callers that send bursts, per group of gateways
	environment  []string      // of the gateways, added to the own one
}

// LatestMix is the mix of new seeds.
const LatestMix = 2

var (
	faultsOfMix1 = []fault{
		(*run).stopGateway, (*run).stopGateway, (*run).killGateway, (*run).pauseGateway, (*run).reloadGateway,
		(*run).storeOutage, (*run).storeLinkFault, (*run).storeLinkFault,
		(*run).endpointFailure, (*run).endpointFailure, (*run).endpointLinkFault, (*run).drainEndpoint,
		(*run).rotateKey, (*run).publishConfig,
		(*run).upgradeEndpoint, (*run).upgradeEndpoint, (*run).killHalf, (*run).restoreStore,
	}
	faultsOfMix2 = append(slices.Clone(faultsOfMix1),
		(*run).shortenIdleTimeout, (*run).shortenIdleTimeout, (*run).shortenRouteTimeout, (*run).moveRoute, (*run).moveRoute, (*run).splitRoute,
		(*run).removeRoute, (*run).emptyService, (*run).keyStorm, (*run).configStorm, (*run).configStorm,
		(*run).silentEndpoint, (*run).silentService, (*run).silentServiceMetByBursts, (*run).silentServiceMetByBursts, (*run).endlessEndpoint,
		(*run).reloadChangedSettings, (*run).reloadBrokenSettings, (*run).stopDuringChanges, (*run).stopDuringChanges, (*run).stopGateway,
		(*run).throttleGateway, (*run).stopMetByBurst, (*run).stopMetByBurst, (*run).idleChangeMetByBurst, (*run).idleChangeMetByBurst,
	)
)

// mixes are the versions of the mix of faults. In mix 2, gateways have one processor each, so that requests wait in
// the buffers of connections.
var mixes map[int]mix

func init() { // the faults refer to mixes
	mixes = map[int]mix{
		1: {faults: faultsOfMix1},
		2: {faults: faultsOfMix2, idleTimeout: idleTimeout, burstCallers: 2, environment: []string{"GOMAXPROCS=1"}},
	}
}
