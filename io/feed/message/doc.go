// Package message holds the gRPC service and messages by which hosts follow each other's copy of
// the published entries.
package message
