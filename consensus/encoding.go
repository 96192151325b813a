package consensus

import "github.com/fxamacker/cbor/v2"

// canonicalEncoding is CBOR core deterministic encoding: equal values have equal bytes, which digests and comparisons
// rely on.
var canonicalEncoding = func() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err) // The library provides these options.
	}
	return mode
}()

// strictDecoding decodes input from peers and files. Its limits cover everything that this package encodes.
var strictDecoding = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: 2 * maxNames, MaxMapPairs: 2 * maxLimits, MaxNestedLevels: 8,
		IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden}.DecMode()
	if err != nil {
		panic(err) // The options are constants.
	}
	return mode
}()

// encode returns the CBOR encoding of a value of one of this package's types.
func encode(value any) []byte {
	bytes, err := canonicalEncoding.Marshal(value)
	if err != nil {
		panic(err) // All types of this package can be encoded as CBOR.
	}
	return bytes
}
