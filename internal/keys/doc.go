// Package keys issues and loads the certificates with which routers authenticate each other by mutual TLS.
//
// One certificate authority signs a certificate for each instance. The certificate carries the instance id in a URI
// subject alternative name, and every certificate carries the same DNS name, ServerName, so that the standard
// verification of package crypto/tls applies in both directions.
package keys
