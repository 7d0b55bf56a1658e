// Package transport sends HTTP/1.1 requests to targets over pooled connections.
//
// Unlike net/http, it never retries a request by itself, reports whether any byte of a request
// may have reached the target, matches responses to requests by their identity, and sends the
// request line and the body unchanged.
//
// Dial and Listen apply its timeouts and keep-alive settings to connections of other kinds, such as
// those to other hosts and to the metadata store.
package transport
