// Package bench benchmarks the decisions of whole fleets in a simulation with virtual time:
// cache reuse, load skew, control traffic and availability under faults. It runs the sizes of
// the two example deployments, and compares the placement of the cores with baseline policies
// on the same seed. The results are deterministic for a seed. bounds.go holds the limits that
// the tests assert.
package bench
