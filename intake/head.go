package intake

import "bytes"

// headScan finds the end of a head: an empty line after at least one other.
type headScan struct {
	state headState
}

// headState is what the last bytes of a head were.
type headState int

const (
	headStart headState = iota
	headInLine
	headLineEnd
	// headLineEndCR: a CR follows the end of a line.
	headLineEndCR
	headWhole
)

// write takes further bytes and reports whether the head is whole.
func (h *headScan) write(p []byte) bool {
	for len(p) > 0 && h.state != headWhole {
		if h.state == headInLine {
			end := bytes.IndexByte(p, '\n')
			if end < 0 {
				return false
			}
			p, h.state = p[end+1:], headLineEnd
			continue
		}
		switch b := p[0]; {
		case h.state == headStart && (b == '\r' || b == '\n'):
			// net/http skips these where it accepts them.
		case h.state == headStart, b != '\r' && b != '\n':
			h.state = headInLine
		case b == '\n':
			h.state = headWhole
		case h.state == headLineEndCR:
			h.state = headInLine
		default:
			h.state = headLineEndCR
		}
		p = p[1:]
	}
	return h.state == headWhole
}
