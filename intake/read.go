package intake

import (
	"errors"
	"io"
	"net/http"
)

// Sizes of the segments of a body of unknown length, in bytes.
const (
	firstSegment = 4 << 10
	maxSegment   = 128 << 10
)

// Read reads a body whole. length is the announced number of bytes, at most the caller's limit, or
// -1; src may wrap the body of r. The bytes are counted for the connection of r before they are
// stored, and until the request ends.
func Read(r *http.Request, src io.Reader, length int64) ([]byte, error) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	c := FromContext(r.Context())
	b, _ := r.Body.(*body)
	if b != nil {
		b.exact = true
	}
	var content []byte
	var err error
	if length >= 0 {
		content, err = c.readAnnounced(src, length)
	} else {
		content, err = c.readSegments(src)
	}
	if b != nil && errors.Is(err, ErrNoRoom) {
		return nil, b.refuse()
	}
	return content, err
}

// fill reads until the buffer is full or the body ends, and reports whether it has ended.
func fill(src io.Reader, buffer []byte) (n int, ended bool, err error) {
	for n < len(buffer) {
		read, err := src.Read(buffer[n:])
		n += read
		// Not io.ReadFull: it would report the end and a broken connection alike.
		if err == io.EOF {
			return n, true, nil
		}
		if err != nil {
			return n, false, err
		}
	}
	return n, false, nil
}

// readAnnounced reads a body of known length.
func (c *Conn) readAnnounced(src io.Reader, length int64) ([]byte, error) {
	if err := c.take(Bodies, length); err != nil {
		return nil, err
	}
	content := make([]byte, length)
	n, ended, err := fill(src, content)
	if err != nil {
		return nil, err
	}
	if int64(n) < length {
		return nil, io.ErrUnexpectedEOF
	}
	if !ended {
		_, _, err = fill(src, make([]byte, 1)) // sees the end, which makes the request whole
	}
	return content, err
}

// readSegments reads a body of unknown length. Only its last step copies it.
func (c *Conn) readSegments(src io.Reader) ([]byte, error) {
	var segments [][]byte
	total := 0
	for size := firstSegment; ; size = min(2*size, maxSegment) {
		if err := c.take(Bodies, int64(size)); err != nil {
			return nil, err
		}
		segment := make([]byte, size)
		n, ended, err := fill(src, segment)
		if err != nil {
			return nil, err
		}
		total += n
		segments = append(segments, segment[:n])
		if ended {
			return c.join(segments, total), nil
		}
	}
}

// join returns the segments as one body, and counts only that from then on.
func (c *Conn) join(segments [][]byte, total int) []byte {
	if len(segments) == 1 {
		return segments[0]
	}
	c.put(Bodies, int64(total))
	content := make([]byte, 0, total)
	held := 0
	for _, s := range segments {
		content = append(content, s...)
		held += cap(s)
	}
	c.put(Bodies, int64(-held))
	return content
}

// ReadResponse reads at most limit bytes of a server's response for the client of r. whole is not
// set if the response is longer, or if there is no memory to hold it.
func ReadResponse(r *http.Request, src io.Reader, limit int) (content []byte, whole bool, err error) {
	c := FromContext(r.Context())
	for size := min(firstSegment, limit); ; size = min(2*size, limit) {
		if c.take(Responses, int64(size-cap(content))) != nil {
			return content, false, nil
		}
		grown := make([]byte, size)
		n := copy(grown, content)
		read, ended, err := fill(src, grown[n:])
		content = grown[:n+read]
		if ended || err != nil {
			return content, ended, err
		}
		if size == limit {
			return content, false, nil
		}
	}
}
