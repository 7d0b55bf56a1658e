package config

import (
	"bytes"
	"fmt"
)

// Version orders documents: by the number that the configuration service gave, then by
// the hash of the bytes. All hosts order the same documents the same way.
type Version struct {
	number uint64
	hash   [32]byte
}

// NewVersion returns the version of a document that the service published with number.
func VersionOf(number uint64, d *Document) Version { return Version{number: number, hash: d.hash} }

// MakeVersion returns a version from its parts, as received from another host.
func NewVersion(number uint64, hash [32]byte) Version { return Version{number: number, hash: hash} }

// Number returns the number that the configuration service gave.
func (v Version) Number() uint64 { return v.number }

// Hash returns the hash of the document's bytes.
func (v Version) Hash() [32]byte { return v.hash }

// Newer reports whether v comes after w.
func (v Version) Newer(w Version) bool {
	if v.number != w.number {
		return v.number > w.number
	}
	return bytes.Compare(v.hash[:], w.hash[:]) > 0
}

// String returns the number and the first bytes of the hash.
func (v Version) String() string { return fmt.Sprintf("%d-%x", v.number, v.hash[:4]) }
