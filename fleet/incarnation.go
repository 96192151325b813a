package fleet

import (
	"encoding/binary"
	"os"
	"path/filepath"
	"time"
)

const (
	incarnationName  = "hollylever.incarnation"
	incarnationBytes = 8 // of the file: one number, little-endian

	// incarnationRandomBits is how many low bits are drawn, so that no two processes of one millisecond have the same
	// incarnation. The 42 bits of milliseconds above them last until 2109.
	incarnationRandomBits = 22
)

// nextIncarnation numbers a process of a balancer above all before it, also above one that was killed within the same
// second: by the wall clock, or, where that was stepped back, by the last number, which is kept in folder. Without a
// folder the clock alone counts. draw gives the low bits.
//
// Peers take what has a lower incarnation for the past. A process with a number at or under the last one's would be
// ignored until its clock had passed that.
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

// writeIncarnation keeps the number for the next process. Where it cannot be written the next one goes by its clock,
// as without a folder.
func writeIncarnation(folder string, incarnation uint64) {
	if folder == "" {
		return
	}
	path := filepath.Join(folder, incarnationName)
	if os.WriteFile(path+".new", binary.LittleEndian.AppendUint64(nil, incarnation), 0o600) == nil {
		_ = os.Rename(path+".new", path)
	}
}
