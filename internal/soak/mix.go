package soak

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// mix is a version of the mix of faults. A seed plays the same faults only in the mix in which it has failed, so a mix
// is never changed: new faults come with a new mix.
type mix struct {
	summary      string        // what is in it, in comparison with others
	faults       []fault       // chosen with equal probability; one that is listed twice is chosen twice as often
	idleTimeout  time.Duration // published idle timeout of callers' connections, 0 for none
	burstCallers int           // number of callers that send bursts, per group of gateways
	environment  []string      // of the gateways, added to the own one

	soundCallers int           // number of callers that send only contents which others send too, per group of gateways
	deathCallers int           // number of callers that send queries of death, per group of gateways
	deadlyParts  int           // parts of prompts that are queries of death, besides contents
	workTime     time.Duration // for which endpoints work on a request that isn't streamed

	uploadCallers int // number of callers that send large bodies, per group of gateways
}

// LatestMix is the mix of new seeds.
const LatestMix = 12

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
	faultsOfMix3 = append(slices.Clone(faultsOfMix2),
		(*run).killEndpoint, (*run).killEndpoint, (*run).killEndpoint, (*run).killHalfOfService, (*run).resetEndpoint, (*run).resetEndpoint, (*run).resetEndpoint,
	)
	// faultsOfMix4 are the faults around ends of endpoints, of mixes 4 and 5.
	faultsOfMix4 = []fault{
		(*run).killEndpoint, (*run).killEndpoint, (*run).killEndpoint, (*run).killEndpoint,
		(*run).killHalfOfService, (*run).killHalfOfService, (*run).killHalfOfService, (*run).killHalfOfService,
		(*run).resetEndpoint, (*run).resetEndpoint, (*run).resetEndpoint, (*run).endpointLinkFault, (*run).endpointLinkFault, (*run).endpointLinkFault,
		(*run).endpointFailure, (*run).endpointFailure, (*run).silentEndpoint, (*run).silentService, (*run).drainEndpoint, (*run).drainEndpoint,
		(*run).upgradeEndpoint, (*run).upgradeEndpoint, (*run).publishConfig, (*run).publishConfig, (*run).moveRoute,
		(*run).stopGateway, (*run).killGateway, (*run).pauseGateway,
	}
	faultsOfMix7 = append(slices.Clone(faultsOfMix3),
		(*run).brokenEndpoint, (*run).brokenEndpoint, (*run).brokenEndpoint, (*run).brokenEndpoint, (*run).brokenEndpoint, (*run).brokenEndpoint,
		(*run).brokenEndpoint, (*run).brokenEndpoint, (*run).brokenEndpoint, (*run).brokenEndpoint, (*run).brokenEndpoint, (*run).brokenEndpoint,
		(*run).overlappingStops, (*run).overlappingStops, (*run).overlappingStops,
	)
	faultsOfMix9 = append(slices.Clone(faultsOfMix7),
		(*run).foreignLines, (*run).foreignLines, (*run).foreignLines, (*run).foreignLines, (*run).foreignLines, (*run).foreignLines,
		(*run).startWithLateStore, (*run).startWithLateStore, (*run).startWithLateStore, (*run).startWithLateStore, (*run).startWithLateStore, (*run).startWithLateStore,
	)
	faultsOfMix11 = append(slices.Clone(faultsOfMix9),
		(*run).startWhileStoreReturns, (*run).startWhileStoreReturns, (*run).startWhileStoreReturns, (*run).startWhileStoreReturns,
		(*run).startWhileStoreReturns, (*run).startWhileStoreReturns, (*run).restoreStore, (*run).restoreStore, (*run).restoreStore,
	)
)

// mixes are the versions of the mix of faults. From mix 2 on, gateways have one processor each, so that requests wait in
// the buffers of connections.
var mixes map[int]mix

var oneProcessor = []string{"GOMAXPROCS=1"}

// workTime is that of the mixes with shared contents. Ends of processes then meet requests.
const workTime = 20 * time.Millisecond

func init() { // the faults refer to mixes
	withBursts := mix{idleTimeout: idleTimeout, burstCallers: 2, environment: oneProcessor}
	endsOfEndpoints := mix{idleTimeout: idleTimeout, environment: oneProcessor}
	mixes = map[int]mix{
		1:  {summary: "ends, pauses and reloads of gateways, and faults of links, the store and endpoints", faults: faultsOfMix1},
		2:  withBursts.of("mix 1 with bursts and changes that meet requests", faultsOfMix2),
		3:  withBursts.of("mix 2 with ends of endpoints and queries of death", faultsOfMix3).withSharedContents().withQueriesOfDeath(0),
		4:  endsOfEndpoints.of("mainly ends of endpoints, and queries of death", faultsOfMix4).withSharedContents().withQueriesOfDeath(0),
		5:  endsOfEndpoints.of("mix 4 without queries of death", faultsOfMix4).withSharedContents(),
		6:  withBursts.of("mix 3 with parts of prompts that end processes, too", faultsOfMix3).withSharedContents().withQueriesOfDeath(1),
		7:  withBursts.of("mix 3 without queries of death, with broken answers, large bodies and planned stops that overlap", faultsOfMix7).withSharedContents().withUploads(),
		8:  withBursts.of("mix 7 with the queries of death of mix 6", faultsOfMix7).withSharedContents().withUploads().withQueriesOfDeath(1),
		9:  withBursts.of("mix 7 with text that is no event in streams, and starts while the store's answers are late", faultsOfMix9).withSharedContents().withUploads(),
		10: withBursts.of("mix 9 with the queries of death of mix 6", faultsOfMix9).withSharedContents().withUploads().withQueriesOfDeath(1),
		11: withBursts.of("mix 9 with starts while the store returns with an older copy", faultsOfMix11).withSharedContents().withUploads(),
		12: withBursts.of("mix 11 with the queries of death of mix 6", faultsOfMix11).withSharedContents().withUploads().withQueriesOfDeath(1),
	}
}

// Mixes returns a line on each mix of faults, in their order.
func Mixes() []string {
	var lines []string
	for _, version := range slices.Sorted(maps.Keys(mixes)) {
		lines = append(lines, fmt.Sprintf("%d: %s", version, mixes[version].summary))
	}
	return lines
}

// of returns the mix with the given summary and faults.
func (m mix) of(summary string, faults []fault) mix {
	m.summary, m.faults = summary, faults
	return m
}

// withSharedContents returns the mix with callers that send contents which others send too.
func (m mix) withSharedContents() mix {
	m.soundCallers, m.workTime = 40, workTime
	return m
}

// withQueriesOfDeath returns the mix with contents, and parts of prompts, that are queries of death.
func (m mix) withQueriesOfDeath(parts int) mix {
	m.deathCallers, m.deadlyParts = 3, parts
	return m
}

// withUploads returns the mix with callers that send large bodies.
func (m mix) withUploads() mix {
	m.uploadCallers = 6
	return m
}
