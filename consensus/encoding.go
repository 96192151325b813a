package consensus

import "github.com/fxamacker/cbor/v2"

// canonicalEncoding writes the same bytes for the same content: digests and comparisons rest on that.
var canonicalEncoding = func() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err) // The options are the library's own.
	}
	return mode
}()

// strictDecoding reads what peers and files have, within the bounds of what this package writes.
var strictDecoding = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: 2 * maxNames, MaxMapPairs: 2 * maxLimits, MaxNestedLevels: 8,
		IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden}.DecMode()
	if err != nil {
		panic(err) // The options are constants.
	}
	return mode
}()

// encode packs a value of this package's own types.
func encode(value any) []byte {
	bytes, err := canonicalEncoding.Marshal(value)
	if err != nil {
		panic(err) // These types hold nothing that CBOR cannot.
	}
	return bytes
}
