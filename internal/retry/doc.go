// Package retry implements retry budgets, as token buckets and as a sliding window, and
// exponential backoff with full jitter.
//
// Each first attempt adds a fraction of a token to three token buckets: the router's, the
// workspace's and that of the endpoint it is sent to. A retry takes one token from each of the
// three or is denied. The router's bucket starts empty, so that on every router, and hence over
// the fleet, the number of retries never exceeds Options.RouterRatio times that of first attempts.
// The buckets of workspaces and endpoints start with a few tokens, because one router
// receives few requests of each; they prevent a failing workspace or endpoint from using up the
// budget of the others.
//
// Window is a sliding-window counter: in any interval of the window's length, the number of
// retries is at most a ratio of the requests plus a constant. Its precision is one of the time
// slots into which the window is divided.
package retry
