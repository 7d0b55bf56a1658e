// Package message holds the messages between a host and the host that dispatches a pool.
package message
