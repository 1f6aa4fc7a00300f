// Package story tells what became of a request from the logs of the processes alone.
//
// It puts the lines that name the request in the order of its way, which needs no
// clocks: admission, each attempt with its result, the end. Beside them it sets what the
// process believed and lost meanwhile, and what other processes say of the same
// endpoints, and names the cause.
package story
