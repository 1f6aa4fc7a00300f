// Package admission implements the owner's side of endpoint leases: admission control with
// bounded load, a cold-start ramp, a circuit breaker and a priority queue.
//
// The owner of an endpoint counts the leases that it granted. A lease is granted before its
// request is sent and released after its response has ended, so a load report can exceed the
// owner's count only by requests without a lease of this owner: the foreign load. These were
// admitted by an earlier owner, or under a lease that this owner has dropped, for instance because
// the holder has restarted. The number of leases at the time of a delayed report is known only as a
// range. Admission uses a conservative estimate of the foreign load, and the pool is sent the lower
// bound that the reports prove. A lease is granted while
//
//   - the count is below the owner's usable part of the limit, and
//   - the count and the foreign load together are below the limit,
//
// where the limit is the minimum of the load bound (derived from Multiple and the pool's mean), the
// endpoint's capacity and the cold-start ramp. The usable part follows from the owner's share of
// votes. A vote counts only if it has been valid since before the last report was measured, or
// since maxReportLag ago if there is no report: requests that an earlier owner admitted under a
// vote of the same router are then part of the report. After a handover, which states this load,
// votes count immediately until a report measured after it arrives.
//
// A request that cannot be admitted immediately may wait in a bounded queue, ordered by priority,
// then deadline. A request that does not fit into the queue, or whose wait expires, is refused
// with a retry-after time.
package admission
