// Package transport sends HTTP/1.1 requests to targets over pooled connections.
//
// Unlike net/http, it never retries a request by itself, reports whether any byte of a request
// may have reached the target, matches responses to requests by their identity, and sends the
// request line and the body unchanged.
package transport
