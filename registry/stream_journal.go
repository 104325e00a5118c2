package registry

import (
	"context"
	"encoding/binary"
	"hash/crc32"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/galenaarch/galenaarch/api/fleetv1"
)

// Files and limits of the journal of streams.
const (
	currentStreams  = "streams-current"
	previousStreams = "streams-previous"
	// maxJournalBytes bounds each of the two files: maxStreamsPerGeneration records are 1 MiB and their batches'
	// names and headers less than that.
	maxJournalBytes = 4 << 20
	// journalWait bounds how long a caller waits for its records to be written: a disk may stall. They are in
	// memory by then.
	journalWait       = 50 * time.Millisecond
	maxJournalWaiting = 64
	journalHeaderSize = 8
)

// streamJournal keeps the records of streams in a folder, so that they outlive the process. They are not synced: what a
// loss of power takes is recorded again by the entry instances that relay the streams.
type streamJournal struct {
	dir    string
	logger *slog.Logger
	writes chan journalWrite
	file   *os.File
	// size is that of the file, startedAt when it was begun. failed is set from the first failure until the next file.
	size      int64
	startedAt time.Time
	failed    bool
}

// journalWrite is a frame to write; done is closed then.
type journalWrite struct {
	frame []byte
	done  chan struct{}
}

// KeepStreamsIn keeps the records of streams in a folder as well, and reads those that are there. It is called before Run.
func (h *Hub) KeepStreamsIn(dir string) {
	j := &streamJournal{dir: dir, logger: h.logger, writes: make(chan journalWrite, maxJournalWaiting)}
	now, records := time.Now(), 0
	for _, name := range []string{previousStreams, currentStreams} {
		valid, err := readJournal(filepath.Join(dir, name), now, func(r *fleetv1.RecordStreamsRequest) {
			records += h.addStreams(r, now)
		})
		if err != nil && !os.IsNotExist(eris.Cause(err)) {
			h.logger.Warn("records of streams not read", slog.String("file", name), slog.Any("error", err))
		}
		if name == currentStreams {
			j.open(valid, now)
		}
	}
	if records > 0 {
		h.logger.Info("records of streams read", slog.Int("records", records))
	}
	h.journal = j
}

// WriteStreams writes records to the folder of KeepStreamsIn, if there is one, until the context ends. Run does that as well.
func (h *Hub) WriteStreams(ctx context.Context) {
	if h.journal != nil {
		h.journal.run(ctx)
	}
}

// readJournal calls add for each whole batch in a file that was written within two generations, and returns the length
// of these.
func readJournal(path string, now time.Time, add func(*fleetv1.RecordStreamsRequest)) (valid int64, err error) {
	f, err := os.Open(path)
	if err != nil {
		return 0, eris.Wrap(err, "open")
	}
	defer f.Close()
	info, err := f.Stat()
	if err != nil {
		return 0, eris.Wrap(err, "stat")
	}
	if now.Sub(info.ModTime()) >= 2*streamGeneration {
		return 0, nil
	}
	content, err := io.ReadAll(io.LimitReader(f, maxJournalBytes))
	if err != nil {
		return 0, eris.Wrap(err, "read")
	}
	for rest := content; len(rest) >= journalHeaderSize; rest = content[valid:] {
		length := int(binary.LittleEndian.Uint32(rest))
		if length > len(rest)-journalHeaderSize {
			break
		}
		batch := rest[journalHeaderSize : journalHeaderSize+length]
		r := &fleetv1.RecordStreamsRequest{}
		if crc32.ChecksumIEEE(batch) != binary.LittleEndian.Uint32(rest[4:]) || proto.Unmarshal(batch, r) != nil || checkStreams(r) != nil {
			break
		}
		add(r)
		valid += int64(journalHeaderSize + length)
	}
	return valid, nil
}

// open opens the current file behind its whole batches.
func (j *streamJournal) open(valid int64, now time.Time) {
	f, err := os.OpenFile(filepath.Join(j.dir, currentStreams), os.O_CREATE|os.O_WRONLY, 0o600)
	if err == nil {
		if err = f.Truncate(valid); err == nil {
			_, err = f.Seek(valid, io.SeekStart)
		}
	}
	j.file, j.size, j.startedAt, j.failed = f, valid, now, false
	if err != nil {
		j.fail(err)
	}
}

// fail stops writing until the next file, and logs that.
func (j *streamJournal) fail(err error) {
	j.failed = true
	j.logger.Warn("records of streams are not kept over a restart", slog.Any("error", err))
}

// run writes frames until the context ends.
func (j *streamJournal) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			if j.file != nil {
				_ = j.file.Close() // nothing is synced
			}
			return
		case w := <-j.writes:
			j.write(w.frame, time.Now())
			close(w.done)
		}
	}
}

// write appends a frame, to a new file if the current one has lasted for a generation.
func (j *streamJournal) write(frame []byte, now time.Time) {
	if now.Sub(j.startedAt) >= streamGeneration {
		if j.file != nil {
			_ = j.file.Close() // nothing is synced
		}
		if err := os.Rename(filepath.Join(j.dir, currentStreams), filepath.Join(j.dir, previousStreams)); err != nil {
			j.logger.Warn("records of streams not moved", slog.Any("error", err))
		}
		j.open(0, now)
	}
	if j.failed || j.size+int64(len(frame)) > maxJournalBytes {
		return
	}
	n, err := j.file.Write(frame)
	j.size += int64(n)
	if err != nil {
		j.fail(err)
	}
}

// append writes a batch. It waits for that for journalWait at most, and not at all if many wait already.
func (j *streamJournal) append(ctx context.Context, r *fleetv1.RecordStreamsRequest) {
	batch, err := proto.Marshal(r)
	if err != nil {
		return // it was received as a message
	}
	frame := make([]byte, journalHeaderSize, journalHeaderSize+len(batch))
	binary.LittleEndian.PutUint32(frame, uint32(len(batch)))
	binary.LittleEndian.PutUint32(frame[4:], crc32.ChecksumIEEE(batch))
	w := journalWrite{append(frame, batch...), make(chan struct{})}
	select {
	case j.writes <- w:
	default:
		return
	}
	limit := time.NewTimer(journalWait)
	defer limit.Stop()
	select {
	case <-w.done:
	case <-limit.C:
	case <-ctx.Done():
	}
}
