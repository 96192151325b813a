package routing

import (
	"crypto/sha256"
	"encoding/binary"
	"hash/fnv"

	"hollylever/protocol"
	"hollylever/siblings"
)

// newRequestIdentity returns what a request with an effect is recognized by when its ID comes again.
func newRequestIdentity(workload []byte, arguments [][]byte) siblings.RequestIdentity {
	id := arguments[2]
	return siblings.RequestIdentity{
		Digest:  requestDigest(arguments[0], arguments[1], id, workload),
		ID:      requestDigest(id),
		Content: requestContent(arguments),
	}
}

// requestDigest returns what a request is found by: its verb, key, ID and workload, or its ID alone. Processes of other versions
// compute the same. A client can make two requests have the same one; requestContent tells them apart.
func requestDigest(parts ...[]byte) siblings.RequestDigest {
	hash := fnv.New128a()
	for _, part := range parts {
		_, _ = hash.Write(binary.BigEndian.AppendUint32(nil, uint32(len(part))))
		_, _ = hash.Write(part)
	}
	sum := hash.Sum(nil)
	return siblings.RequestDigest{binary.BigEndian.Uint64(sum), binary.BigEndian.Uint64(sum[8:]) | 1}
}

// requestContent returns a digest of everything that makes two requests the same one: all that a server would get, and who asks.
// It resists a client that looks for another request with the same digest.
func requestContent(arguments [][]byte) siblings.RequestContent {
	hash := sha256.New()
	for n, part := range arguments {
		if n == protocol.AttributesIndex {
			part = protocol.AppendLastingAttributes(nil, part)
		}
		_, _ = hash.Write(binary.BigEndian.AppendUint32(nil, uint32(len(part))))
		_, _ = hash.Write(part)
	}
	sum := hash.Sum(nil)
	return siblings.RequestContent{binary.BigEndian.Uint64(sum), binary.BigEndian.Uint64(sum[8:])}
}
