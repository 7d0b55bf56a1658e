// Package callerapi is the HTTP API of a host for callers: address lists, pipeline requests, the
// configuration and the status of the host.
package callerapi
