// Package deployment runs a complete deployment on loopback, each part as a child process: the stand-ins of the
// platform and the endpoints, and the routers. The demo, the end-to-end tests and the load runs use it.
//
// Close kills all child processes. On Linux no child outlives its parent: the kernel kills the children of a parent
// that exits without calling Close.
package deployment
