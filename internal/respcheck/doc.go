// Package respcheck checks the responses that other processes send: whether the end of a body is the end of the response.
package respcheck
