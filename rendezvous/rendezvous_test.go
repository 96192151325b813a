package rendezvous

import "testing"

// Guards against a change of the scores, by which all processes choose probe leases and connection subsets: processes
// of different builds would silently choose differently. The values are those of SplitMix64 with seed 0.
func TestMixIsSplitMix64(t *testing.T) {
	state := uint64(0)
	for n, want := range []uint64{0xe220a8397b1dcdaf, 0x6e789e6aa1b965f4, 0x06c45d188009454f, 0xf88bb8a8724c81ec} {
		state += GoldenRatio
		if got := Mix(state); got != want {
			t.Errorf("value %d: %#x, want %#x", n, got, want)
		}
	}
}
