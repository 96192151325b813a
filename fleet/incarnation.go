package fleet

import (
	"encoding/binary"
	"os"
	"path/filepath"
	"time"
)

const (
	incarnationName  = "hollylever.incarnation"
	incarnationBytes = 8 // file size: one little-endian number

	// incarnationRandomBits is the number of random low bits, which make the incarnations of processes started in the
	// same millisecond differ. The 42 bits above them hold milliseconds until the year 2109.
	incarnationRandomBits = 22
)

// nextIncarnation returns an incarnation above those of all previous processes of a balancer, even of one that was
// killed within the same second. It is based on the wall clock or, if that was stepped back, on the last incarnation,
// which is stored in folder. Without a folder only the clock is used. randomBits provides the low bits.
//
// Peers treat messages with a lower incarnation as outdated. A process whose incarnation is not above the previous one
// would be ignored until its clock had passed that one's time.
func nextIncarnation(folder string, now time.Time, randomBits uint32) uint64 {
	millisecond := uint64(now.UnixMilli())
	if last, ok := readIncarnation(folder); ok {
		millisecond = max(millisecond, last>>incarnationRandomBits+1)
	}
	incarnation := millisecond<<incarnationRandomBits | uint64(randomBits)&(1<<incarnationRandomBits-1)
	writeIncarnation(folder, incarnation)
	return incarnation
}

func readIncarnation(folder string) (incarnation uint64, ok bool) {
	if folder == "" {
		return 0, false
	}
	content, err := os.ReadFile(filepath.Join(folder, incarnationName))
	if err != nil || len(content) != incarnationBytes {
		return 0, false
	}
	return binary.LittleEndian.Uint64(content), true
}

// writeIncarnation stores the incarnation for the next process. If it cannot be written, the next process uses only its
// clock, as without a folder.
func writeIncarnation(folder string, incarnation uint64) {
	if folder == "" {
		return
	}
	path := filepath.Join(folder, incarnationName)
	if os.WriteFile(path+".new", binary.LittleEndian.AppendUint64(nil, incarnation), 0o600) == nil {
		_ = os.Rename(path+".new", path)
	}
}
