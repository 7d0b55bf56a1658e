package command

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"io"
)

// Fingerprint identifies the body of a command.
type Fingerprint [sha256.Size]byte

// NewFingerprint returns the SHA-256 of the pipeline, the workspace and the input in canonical
// form: without insignificant whitespace and with sorted object members. Numbers keep their text,
// so that numbers that differ in any digit stay distinct.
func NewFingerprint(pipeline, workspace string, input json.RawMessage) (f Fingerprint, err error) {
	defer func() { err = Error.Wrap(err) }()
	decoder := json.NewDecoder(bytes.NewReader(input))
	decoder.UseNumber()
	var value any
	if err := decoder.Decode(&value); err != nil {
		return f, err
	}
	if _, err := decoder.Token(); err != io.EOF {
		return f, Error.New("the input is not one JSON value")
	}
	canonical, err := json.Marshal(value)
	if err != nil {
		return f, err
	}
	h := sha256.New()
	for _, part := range [][]byte{[]byte(pipeline), []byte(workspace), canonical} {
		_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
		_, _ = h.Write(part)
	}
	copy(f[:], h.Sum(nil))
	return f, nil
}
