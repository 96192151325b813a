package rendezvous

import "testing"

// Processes of two builds choose probe leases and connection subsets by these scores: others would make them choose
// differently without a word. The values are those of SplitMix64 with seed 0.
func TestMixIsSplitMix64(t *testing.T) {
	state := uint64(0)
	for n, want := range []uint64{0xe220a8397b1dcdaf, 0x6e789e6aa1b965f4, 0x06c45d188009454f, 0xf88bb8a8724c81ec} {
		state += GoldenRatio
		if got := Mix(state); got != want {
			t.Errorf("value %d: %#x, want %#x", n, got, want)
		}
	}
}
