// Package compress compresses what hosts send each other with Zstandard.
package compress
