// Package httphead checks the heads of HTTP/1.1 responses while they are received.
//
// net/http accepts heads that RFC 9112 doesn't allow. Their fields and the bytes after them can't be
// relied on: a status may mean anything, and a body may begin or end elsewhere than its sender meant.
package httphead
