package routing

import "hollylever/transport"

// heldValue is a large value that has arrived completely, in a buffer of a budget. A nil heldValue is none.
type heldValue struct {
	value         []byte // with its terminator
	releaseBuffer func()
}

// size returns the length of the value in bytes.
func (v *heldValue) size() int { return len(v.value) - len(valueTerminator) }

// release returns the buffer to its budget. It must be called exactly once.
func (v *heldValue) release() {
	if v != nil {
		v.releaseBuffer()
	}
}

// writeTo writes the value to the client. A client that reads slowly has writeTimeout for each piece.
func (v *heldValue) writeTo(c *transport.Client) transport.End {
	for rest := v.value; len(rest) > 0; {
		piece := rest[:min(len(rest), maxPieceSize)]
		if end := writePart(c, piece); end != transport.Open {
			return end
		}
		rest = rest[len(piece):]
	}
	return transport.Open
}
