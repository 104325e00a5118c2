package intake

import (
	"bytes"
	"strings"
	"sync"
)

// maxEchoLine bounds the lines of a head in which the echoed field is looked for.
const maxEchoLine = 512

// SetEchoHeader names the header field whose value a response of the connection itself repeats. It must
// be called before Accept.
func (l *Listener) SetEchoHeader(name string) { l.echoHeader = name }

// headEcho finds the value of a field in a head that arrives in pieces.
type headEcho struct {
	mu sync.Mutex
	// line is the begun line, cut at maxEchoLine.
	line  []byte
	value string
	// ended is set at the end of the head.
	ended bool
}

func (e *headEcho) reset() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.line, e.value, e.ended = e.line[:0], "", false
}

// found returns the value, empty if there is none.
func (e *headEcho) found() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.value
}

// write takes further bytes of a head with the field of a name.
func (e *headEcho) write(name string, p []byte) {
	if name == "" {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for len(p) > 0 && !e.ended && e.value == "" {
		part, rest, ends := bytes.Cut(p, []byte{'\n'})
		e.line = append(e.line, part[:min(len(part), maxEchoLine-len(e.line))]...)
		if ends {
			e.take(name)
		}
		p = rest
	}
}

// take looks at a whole line.
func (e *headEcho) take(name string) {
	line, whole := bytes.TrimSuffix(e.line, []byte{'\r'}), len(e.line) < maxEchoLine
	e.line = e.line[:0]
	e.ended = len(line) == 0
	field, value, _ := bytes.Cut(line, []byte{':'})
	if whole && len(field) == len(name) && strings.EqualFold(string(field), name) && bytes.IndexFunc(value, isControl) < 0 {
		e.value = string(bytes.TrimSpace(value))
	}
}

func isControl(r rune) bool { return r < ' ' || r == 0x7f }
