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
	// macBytes is the length of the MAC of a key; 128 bits are beyond guessing.
	macBytes = 16
	// tagBytes is the length of the hash of the workspace. Workspaces are published by the
	// operators, so that 64 bits are enough to tell them apart.
	tagBytes = 8
	keyParts = 6
	keyBase  = 36
	hexBase  = 16
)

// Fault says what is wrong with the text of a key.
type ParseErrorKind int

// The faults of the text of a key.
const (
	TooLong        ParseErrorKind = iota // oversize
	BadPartCount                         // parts
	BadHost                              // host
	BadIncarnation                       // incarnation
	BadNumber                            // number
	BadIssueTime                         // issued
	BadWorkspace                         // workspace
	BadMAC                               // mac
	NotCanonical                         // canonical
)

// DecodeError is the error of a text that is not a key.
type ParseError struct {
	fault ParseErrorKind
}

// Fault returns what is wrong with the text.
func (e *ParseError) Kind() ParseErrorKind { return e.fault }

// Error returns the fault in words.
func (e *ParseError) Error() string { return fmt.Sprintf("not a command key: %s", e.fault) }

// Key identifies one command. The zero value is not a valid key.
type Key struct {
	// host is not empty and has no dot.
	host        string
	incarnation uint64
	number      uint64
	// issued is the issue time in whole milliseconds since the start of the owner.
	issued time.Duration
	// tag is a hash of the workspace, which each host can check without the secret: a host
	// that sends a command of an unreachable owner must not send it for another workspace.
	tag [tagBytes]byte
	// mac is over all the fields above, so that the owner detects a forged key.
	mac [macBytes]byte
}

// Host returns the name of the host that issued the key.
func (k Key) Host() string { return k.host }

// Incarnation returns the incarnation of the host that issued the key.
func (k Key) Incarnation() uint64 { return k.incarnation }

// Number returns the number of the key within its incarnation.
func (k Key) Number() uint64 { return k.number }

// Issued returns the issue time as time since the start of the owner.
func (k Key) Issued() time.Duration { return k.issued }

// Of reports whether the key names the workspace. Only the owner knows whether the key is
// genuine.
func (k Key) BelongsTo(workspace string) bool { return k.tag == tagOf(workspace) }

// String returns the text of the key:
// host.incarnation.number.milliseconds.workspace.mac, with the incarnation in hexadecimal,
// the numbers in base 36 and the hash and the MAC in unpadded base64url.
func (k Key) String() string {
	return strings.Join([]string{
		k.host,
		strconv.FormatUint(k.incarnation, hexBase),
		strconv.FormatUint(k.number, keyBase),
		strconv.FormatInt(k.issued.Milliseconds(), keyBase),
		base64.RawURLEncoding.EncodeToString(k.tag[:]),
		base64.RawURLEncoding.EncodeToString(k.mac[:]),
	}, ".")
}

// Parse returns the key with the given text. It accepts exactly the texts that String
// returns, since two texts of one key must not be taken for two keys. The error holds a
// *DecodeError. A parsed key is not verified; its owner does that.
func Parse(text string) (k Key, err error) {
	defer func() { err = Error.Wrap(err) }()
	if len(text) > maxKey {
		return Key{}, &ParseError{fault: TooLong}
	}
	parts := strings.Split(text, ".")
	if len(parts) != keyParts {
		return Key{}, &ParseError{fault: BadPartCount}
	}
	if k.host = parts[0]; k.host == "" {
		return Key{}, &ParseError{fault: BadHost}
	}
	if k.incarnation, err = strconv.ParseUint(parts[1], hexBase, 64); err != nil {
		return Key{}, &ParseError{fault: BadIncarnation}
	}
	if k.number, err = strconv.ParseUint(parts[2], keyBase, 64); err != nil {
		return Key{}, &ParseError{fault: BadNumber}
	}
	issued, err := strconv.ParseInt(parts[3], keyBase, 64)
	if err != nil || issued < 0 || issued > int64(maxIssued/time.Millisecond) {
		return Key{}, &ParseError{fault: BadIssueTime}
	}
	k.issued = time.Duration(issued) * time.Millisecond
	if !decode(k.tag[:], parts[4]) {
		return Key{}, &ParseError{fault: BadWorkspace}
	}
	if !decode(k.mac[:], parts[5]) {
		return Key{}, &ParseError{fault: BadMAC}
	}
	if k.String() != text {
		return Key{}, &ParseError{fault: NotCanonical}
	}
	return k, nil
}

// maxIssued is the latest issue time that does not overflow when a lifetime is added.
const maxIssued = 1<<62 - 1

// decode fills the bytes from their text and reports whether the length is right.
func decode(to []byte, text string) bool {
	b, err := base64.RawURLEncoding.DecodeString(text)
	return err == nil && copy(to, b) == len(to) && len(b) == len(to)
}

func tagOf(workspace string) (tag [tagBytes]byte) {
	sum := sha256.Sum256([]byte("workspace " + workspace))
	copy(tag[:], sum[:])
	return tag
}

// sum returns the truncated HMAC-SHA-256 over the fields of the key. The host is preceded
// by its length and all other fields have a fixed length, so that no two keys have the
// same bytes.
func (k Key) sum(secret []byte) (mac [macBytes]byte) {
	h := hmac.New(sha256.New, secret)
	var b []byte
	b = binary.BigEndian.AppendUint64(b, uint64(len(k.host)))
	b = append(b, k.host...)
	b = binary.BigEndian.AppendUint64(b, k.incarnation)
	b = binary.BigEndian.AppendUint64(b, k.number)
	b = binary.BigEndian.AppendUint64(b, uint64(k.issued.Milliseconds()))
	b = append(b, k.tag[:]...)
	_, _ = h.Write(b)
	copy(mac[:], h.Sum(nil))
	return mac
}

// genuine reports whether the key was issued under the secret.
func (k Key) genuine(secret []byte) bool {
	want := k.sum(secret)
	return hmac.Equal(want[:], k.mac[:])
}
