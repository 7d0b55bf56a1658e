// Package link carries single HTTP/1.1 exchanges to targets.
//
// Unlike a general HTTP client it never repeats a request by itself, tells whether any byte
// of a request may have reached the target, matches answers to requests by their identity,
// and passes the request line and body on as they are.
package link
