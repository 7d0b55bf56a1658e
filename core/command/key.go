package command

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("command")

const (
	// maxKey bounds the text of a key in bytes, so that a decoder does bounded work.
	maxKey = 256
	// macBytes is the length of each of the two MACs of a key; 96 bits are beyond
	// guessing within the lifetime of an incarnation.
	macBytes = 12
	keyParts = 5
	keyBase  = 36
	hexBase  = 16
)

// Fault says what is wrong with the text of a key.
type Fault int

// The faults of the text of a key.
const (
	Oversize    Fault = iota // oversize
	Parts                    // parts
	Host                     // host
	Incarnation              // incarnation
	Number                   // number
	Issued                   // issued
	MAC                      // mac
	Canonical                // canonical
)

// DecodeError is the error of a text that is not a key.
type DecodeError struct {
	fault Fault
}

// Fault returns what is wrong with the text.
func (e *DecodeError) Fault() Fault { return e.fault }

// Error returns the fault in words.
func (e *DecodeError) Error() string { return fmt.Sprintf("not a command key: %s", e.fault) }

// Key identifies one command. The zero value is not a valid key.
type Key struct {
	// host is not empty and has no dot.
	host        string
	incarnation uint64
	number      uint64
	// issued is the issue time in whole milliseconds since the start of the owner.
	issued time.Duration
	// proof is the MAC over the fields above, so that a forged key is detected.
	proof [macBytes]byte
	// bond is the MAC over the fields above and the workspace, so that a key of another
	// workspace is told apart from a forged one.
	bond [macBytes]byte
}

// Host returns the name of the host that issued the key.
func (k Key) Host() string { return k.host }

// Incarnation returns the incarnation of the host that issued the key.
func (k Key) Incarnation() uint64 { return k.incarnation }

// Number returns the number of the key within its incarnation.
func (k Key) Number() uint64 { return k.number }

// Issued returns the issue time as time since the start of the owner.
func (k Key) Issued() time.Duration { return k.issued }

// String returns the text of the key:
// host.incarnation.number.milliseconds.macs, with the incarnation in hexadecimal, the
// numbers in base 36 and the MACs in unpadded base64url.
func (k Key) String() string {
	macs := append(append(make([]byte, 0, 2*macBytes), k.proof[:]...), k.bond[:]...)
	return strings.Join([]string{
		k.host,
		strconv.FormatUint(k.incarnation, hexBase),
		strconv.FormatUint(k.number, keyBase),
		strconv.FormatInt(k.issued.Milliseconds(), keyBase),
		base64.RawURLEncoding.EncodeToString(macs),
	}, ".")
}

// Parse returns the key with the given text. It accepts exactly the texts that String
// returns, since two texts of one key must not be taken for two keys. The error holds a
// *DecodeError. A parsed key is not verified; its owner does that.
func Parse(text string) (k Key, err error) {
	defer func() { err = Error.Wrap(err) }()
	if len(text) > maxKey {
		return Key{}, &DecodeError{fault: Oversize}
	}
	parts := strings.Split(text, ".")
	if len(parts) != keyParts {
		return Key{}, &DecodeError{fault: Parts}
	}
	if k.host = parts[0]; k.host == "" {
		return Key{}, &DecodeError{fault: Host}
	}
	if k.incarnation, err = strconv.ParseUint(parts[1], hexBase, 64); err != nil {
		return Key{}, &DecodeError{fault: Incarnation}
	}
	if k.number, err = strconv.ParseUint(parts[2], keyBase, 64); err != nil {
		return Key{}, &DecodeError{fault: Number}
	}
	issued, err := strconv.ParseInt(parts[3], keyBase, 64)
	if err != nil || issued < 0 || issued > int64(maxIssued/time.Millisecond) {
		return Key{}, &DecodeError{fault: Issued}
	}
	k.issued = time.Duration(issued) * time.Millisecond
	macs, err := base64.RawURLEncoding.DecodeString(parts[4])
	if err != nil || len(macs) != 2*macBytes {
		return Key{}, &DecodeError{fault: MAC}
	}
	copy(k.proof[:], macs)
	copy(k.bond[:], macs[macBytes:])
	if k.String() != text {
		return Key{}, &DecodeError{fault: Canonical}
	}
	return k, nil
}

// maxIssued is the latest issue time that does not overflow when a lifetime is added.
const maxIssued = 1<<62 - 1

// sign sets the MACs of the key.
func (k *Key) sign(secret []byte, workspace string) {
	k.proof = k.sum(secret, "")
	k.bond = k.sum(secret, "workspace "+workspace)
}

// sum returns the truncated HMAC-SHA-256 over the fields of the key and the bound text.
// Each text is preceded by its length, so that no two inputs have the same bytes.
func (k Key) sum(secret []byte, bound string) (mac [macBytes]byte) {
	h := hmac.New(sha256.New, secret)
	var b []byte
	b = binary.BigEndian.AppendUint64(b, uint64(len(k.host)))
	b = append(b, k.host...)
	b = binary.BigEndian.AppendUint64(b, k.incarnation)
	b = binary.BigEndian.AppendUint64(b, k.number)
	b = binary.BigEndian.AppendUint64(b, uint64(k.issued.Milliseconds()))
	b = binary.BigEndian.AppendUint64(b, uint64(len(bound)))
	b = append(b, bound...)
	_, _ = h.Write(b)
	copy(mac[:], h.Sum(nil))
	return mac
}

// genuine reports whether the key was issued under the secret.
func (k Key) genuine(secret []byte) bool {
	want := k.sum(secret, "")
	return hmac.Equal(want[:], k.proof[:])
}

// bound reports whether the key was issued to the workspace under the secret.
func (k Key) bound(secret []byte, workspace string) bool {
	want := k.sum(secret, "workspace "+workspace)
	return hmac.Equal(want[:], k.bond[:])
}
