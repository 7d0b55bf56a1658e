package compress

import (
	"github.com/klauspost/compress/zstd"
	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("compress")

// Encode compresses a message.
func Encode(raw []byte) (packed []byte, err error) {
	defer func() { err = Error.Wrap(err) }()
	w, err := zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true))
	if err != nil {
		return nil, err
	}
	return w.EncodeAll(raw, nil), w.Close()
}

// Decode returns the message that Encode compressed. It returns an error if the message has more than maxBytes
// bytes or is truncated.
func Decode(packed []byte, maxBytes int) (raw []byte, err error) {
	defer func() { err = Error.Wrap(err) }()
	r, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(uint64(maxBytes)))
	if err != nil {
		return nil, err
	}
	defer r.Close()
	return r.DecodeAll(packed, nil)
}
