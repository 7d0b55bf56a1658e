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
	// maxKeyBytes limits the length of the text of a key, and so the work of parsing it.
	maxKeyBytes = 256
	// macBytes is the length of the MAC of a key. 128 bits cannot be guessed.
	macBytes = 16
	// workspaceHashBytes is the length of the workspace hash. Workspaces are published by the
	// operators, not chosen by callers, so 64 bits suffice to tell them apart.
	workspaceHashBytes = 8
	keyParts           = 6
	numberBase         = 36
	incarnationBase    = 16
)

// ParseErrorKind says why a text is not a key.
type ParseErrorKind int

// The kinds of parse errors.
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

// ParseError is the error for a text that is not a key.
type ParseError struct {
	kind ParseErrorKind
}

// Kind returns why the text is not a key.
func (e *ParseError) Kind() ParseErrorKind { return e.kind }

// Error implements error.
func (e *ParseError) Error() string { return fmt.Sprintf("not a command key: %s", e.kind) }

// Key identifies one command. The zero value is not a valid key.
type Key struct {
	// host is not empty and has no dot.
	host        string
	incarnation uint64
	number      uint64
	// issued is the issue time as time since the start of the owner, in whole milliseconds.
	issued time.Duration
	// workspaceHash lets each host check the workspace without the secret. A host that sends a
	// command of an unreachable owner must not send it for another workspace.
	workspaceHash [workspaceHashBytes]byte
	// mac authenticates all the fields above, so that the owner detects forged keys.
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

// BelongsTo reports whether the key names the workspace. It does not verify the key; only the
// owner can do that.
func (k Key) BelongsTo(workspace string) bool { return k.workspaceHash == hashWorkspace(workspace) }

// String returns the text of the key:
// host.incarnation.number.milliseconds.workspace.mac, with the incarnation in hexadecimal, the
// numbers in base 36, and the workspace hash and the MAC in unpadded base64url.
func (k Key) String() string {
	return strings.Join([]string{
		k.host,
		strconv.FormatUint(k.incarnation, incarnationBase),
		strconv.FormatUint(k.number, numberBase),
		strconv.FormatInt(k.issued.Milliseconds(), numberBase),
		base64.RawURLEncoding.EncodeToString(k.workspaceHash[:]),
		base64.RawURLEncoding.EncodeToString(k.mac[:]),
	}, ".")
}

// Parse parses the text of a key. It accepts exactly the texts that String returns, since two
// texts of one key must not be taken for two keys. The error wraps a *ParseError. A parsed key is
// not verified; its owner does that.
func Parse(text string) (k Key, err error) {
	defer func() { err = Error.Wrap(err) }()
	if len(text) > maxKeyBytes {
		return Key{}, &ParseError{kind: TooLong}
	}
	parts := strings.Split(text, ".")
	if len(parts) != keyParts {
		return Key{}, &ParseError{kind: BadPartCount}
	}
	if k.host = parts[0]; k.host == "" {
		return Key{}, &ParseError{kind: BadHost}
	}
	if k.incarnation, err = strconv.ParseUint(parts[1], incarnationBase, 64); err != nil {
		return Key{}, &ParseError{kind: BadIncarnation}
	}
	if k.number, err = strconv.ParseUint(parts[2], numberBase, 64); err != nil {
		return Key{}, &ParseError{kind: BadNumber}
	}
	issued, err := strconv.ParseInt(parts[3], numberBase, 64)
	if err != nil || issued < 0 || issued > int64(maxIssued/time.Millisecond) {
		return Key{}, &ParseError{kind: BadIssueTime}
	}
	k.issued = time.Duration(issued) * time.Millisecond
	if !decodeBytes(k.workspaceHash[:], parts[4]) {
		return Key{}, &ParseError{kind: BadWorkspace}
	}
	if !decodeBytes(k.mac[:], parts[5]) {
		return Key{}, &ParseError{kind: BadMAC}
	}
	if k.String() != text {
		return Key{}, &ParseError{kind: NotCanonical}
	}
	return k, nil
}

// maxIssued is the latest valid issue time. Adding a lifetime to it does not overflow.
const maxIssued = 1<<62 - 1

// decodeBytes decodes the text into the slice and reports whether it fills it exactly.
func decodeBytes(to []byte, text string) bool {
	b, err := base64.RawURLEncoding.DecodeString(text)
	return err == nil && copy(to, b) == len(to) && len(b) == len(to)
}

func hashWorkspace(workspace string) (hash [workspaceHashBytes]byte) {
	sum := sha256.Sum256([]byte("workspace " + workspace))
	copy(hash[:], sum[:])
	return hash
}

// computeMAC returns the truncated HMAC-SHA-256 of the fields of the key. The host is preceded by
// its length and all other fields have a fixed length, so that no two keys have the same encoding.
func (k Key) computeMAC(secret []byte) (mac [macBytes]byte) {
	h := hmac.New(sha256.New, secret)
	var b []byte
	b = binary.BigEndian.AppendUint64(b, uint64(len(k.host)))
	b = append(b, k.host...)
	b = binary.BigEndian.AppendUint64(b, k.incarnation)
	b = binary.BigEndian.AppendUint64(b, k.number)
	b = binary.BigEndian.AppendUint64(b, uint64(k.issued.Milliseconds()))
	b = append(b, k.workspaceHash[:]...)
	_, _ = h.Write(b)
	copy(mac[:], h.Sum(nil))
	return mac
}

// hasValidMAC reports whether the key was issued with the secret.
func (k Key) hasValidMAC(secret []byte) bool {
	want := k.computeMAC(secret)
	return hmac.Equal(want[:], k.mac[:])
}
