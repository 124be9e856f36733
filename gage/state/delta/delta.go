// Package delta compresses a document with an earlier revision as the
// dictionary, which the receiver must already have.
package delta

import (
	"fmt"
	"math/bits"

	"github.com/klauspost/compress/zstd"
)

const (
	// dictionaryID is the zstd dictionary ID of frames that are compressed with
	// an earlier revision.
	dictionaryID = 1
	// minWindowBytes and maxWindowBytes bound the zstd window. The window covers
	// the earlier revision and the document, within these bounds.
	minWindowBytes = 64 << 10
	maxWindowBytes = 4 << 20
	// decoderOverheadBytes is the memory that the decoder may use in addition to
	// the size of the document.
	decoderOverheadBytes = 1 << 20
)

// Encode returns value compressed with base as the dictionary. With an empty
// base no dictionary is used.
func Encode(base, value []byte) ([]byte, error) {
	options := []zstd.EOption{
		zstd.WithEncoderConcurrency(1),
		zstd.WithEncoderLevel(zstd.SpeedDefault),
		zstd.WithWindowSize(windowBytes(len(base) + len(value))),
	}
	if len(base) > 0 {
		options = append(options, zstd.WithEncoderDictRaw(dictionaryID, base))
	}
	encoder, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, fmt.Errorf("delta encoding: %w", err)
	}
	defer func() { _ = encoder.Close() }()
	return encoder.EncodeAll(value, nil), nil
}

// Decode returns the value that Encode compressed with the same base. It returns
// an error when the value has more than maxBytes or when compressed is malformed.
// A wrong base may give a wrong value without an error, so the caller must verify the
// value.
func Decode(base, compressed []byte, maxBytes int) ([]byte, error) {
	options := []zstd.DOption{
		zstd.WithDecoderConcurrency(1),
		zstd.WithDecoderMaxMemory(uint64(maxBytes + decoderOverheadBytes)),
		zstd.WithDecoderMaxWindow(maxWindowBytes),
	}
	if len(base) > 0 {
		options = append(options, zstd.WithDecoderDictRaw(dictionaryID, base))
	}
	decoder, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, fmt.Errorf("delta decoding: %w", err)
	}
	defer decoder.Close()
	value, err := decoder.DecodeAll(compressed, nil)
	if err != nil {
		return nil, fmt.Errorf("delta decoding: %w", err)
	}
	if len(value) > maxBytes {
		return nil, fmt.Errorf("delta decoding: document of %d bytes exceeds the limit of %d bytes", len(value), maxBytes)
	}
	return value, nil
}

// windowBytes returns the smallest power of two above size, within the bounds of
// the window.
func windowBytes(size int) int {
	return min(max(minWindowBytes, 1<<bits.Len(uint(size))), maxWindowBytes)
}
