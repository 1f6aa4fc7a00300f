// Package respcheck checks the responses that other processes send: whether their heads are valid beyond what net/http checks, and
// whether the end of a body is the end of the response.
package respcheck
