package intake

import (
	"errors"
	"io"
	"net/http"
)

// Sizes of the segments of content of unknown length, in bytes.
const (
	firstSegment = 1 << 10
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
	if c != nil && c.body != nil {
		c.body.exact = true
	}
	var content []byte
	var err error
	if length >= 0 {
		content, err = c.readAnnounced(src, length)
	} else {
		content, _, err = c.readSegments(Bodies, src, -1)
	}
	if c != nil && c.body != nil && errors.Is(err, ErrNoRoom) {
		return nil, c.body.refuse()
	}
	return content, err
}

// fill reads until the buffer is full or the content ends, and reports whether it has ended.
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

// readSegments reads content of unknown length, at most limit bytes of it unless limit is negative,
// and reports whether it has ended. Only its last step copies. With an error, also ErrNoRoom, it
// returns what it has read of a response before.
func (c *Conn) readSegments(kind Kind, src io.Reader, limit int) (content []byte, ended bool, err error) {
	var segments [][]byte
	total := 0
	for size := firstSegment; err == nil && !ended && total != limit; size = min(2*size, maxSegment) {
		if limit >= 0 {
			size = min(size, limit-total)
		}
		if err = c.take(kind, int64(size)); err != nil {
			break
		}
		segment := make([]byte, size)
		var n int
		n, ended, err = fill(src, segment)
		total += n
		segments = append(segments, segment[:n])
	}
	if err != nil && kind == Bodies {
		return nil, false, err
	}
	return c.join(kind, segments, total), ended, err
}

// join returns the segments as one, and counts only that from then on.
func (c *Conn) join(kind Kind, segments [][]byte, total int) []byte {
	if len(segments) == 0 {
		return nil
	}
	if len(segments) == 1 {
		return segments[0]
	}
	c.put(kind, int64(total))
	content := make([]byte, 0, total)
	held := 0
	for _, s := range segments {
		content = append(content, s...)
		held += cap(s)
	}
	c.put(kind, int64(-held))
	return content
}

// ReadResponse reads at most limit bytes of a server's response for the client of r. whole is not
// set if the response is longer, or if there is no memory to hold it.
func ReadResponse(r *http.Request, src io.Reader, limit int) (content []byte, whole bool, err error) {
	content, whole, err = FromContext(r.Context()).readSegments(Responses, src, limit)
	if errors.Is(err, ErrNoRoom) {
		return content, false, nil
	}
	return content, whole, err
}
