// Package storagetest provides a file system for tests whose disk loses power, fills up and
// stalls.
package storagetest

import (
	"errors"
	"fmt"
	"io/fs"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/galenaarch/galenaarch/storage"
)

// Disk is a file system on a directory of the operating system. It remembers what has not
// been synced, so that a loss of power can undo it: writes since the last sync of their file
// are kept, lost or torn, and each file that was created, renamed or removed since the last
// sync of its directory is kept or lost independently.
type Disk struct {
	trash string

	mu      sync.Mutex
	random  *rand.Rand
	files   map[string]*fileState
	pending []directoryChange
	removed int
	// capacity bounds the bytes of all files; 0 means no bound. full refuses all writes.
	capacity int64
	full     bool
	// stalledUntil is when operations that change the disk return again.
	stalledUntil time.Time
	generation   int
}

// fileState is the content of a file, by its current path.
type fileState struct {
	synced []byte
	// writes are those since the last sync, in order.
	writes []write
	// durable is true once the file itself was synced, which makes its name durable too.
	durable bool
	// size is the present size.
	size int64
}

// write is a write, or the setting of a length if data is nil.
type write struct {
	offset int64
	data   []byte
}

// directoryChange is a change that a sync of the directory makes durable.
type directoryChange struct {
	kind     changeKind
	path, to string
	file     *fileState
	// replaced is the file that a rename replaced, nil if none; saved is where the removed or
	// replaced file is kept.
	replaced *fileState
	saved    string
}

type changeKind int

const (
	created changeKind = iota
	renamed
	removed
)

var _ storage.FileSystem = (*Disk)(nil)

// NewDisk returns the disk of a data directory, with a directory outside of it in which it
// keeps removed files. The seed decides what a loss of power undoes.
func NewDisk(trash string, seed uint64) *Disk {
	return &Disk{trash: trash, random: rand.New(rand.NewPCG(seed, 0)), files: make(map[string]*fileState)}
}

// SetCapacity bounds the bytes of all files.
func (d *Disk) SetCapacity(bytes int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.capacity = bytes
}

// SetFull makes the disk refuse all writes, or accept them again.
func (d *Disk) SetFull(full bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.full = full
}

// Stall makes all operations that change the disk wait for a time.
func (d *Disk) Stall(duration time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stalledUntil = time.Now().Add(duration)
}

// Size returns the bytes of all files.
func (d *Disk) Size() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.sizeLocked()
}

func (d *Disk) sizeLocked() int64 {
	var total int64
	for _, f := range d.files {
		total += f.size
	}
	return total
}

// await waits while the disk is stalled. It returns the generation, which a loss of power
// changes: later operations on open files fail.
func (d *Disk) await() int {
	d.mu.Lock()
	left, generation := time.Until(d.stalledUntil), d.generation
	d.mu.Unlock()
	if left > 0 {
		time.Sleep(left)
	}
	return generation
}

// lacksRoom reports whether the disk takes no further bytes. mu must be held.
func (d *Disk) lacksRoom(more int64) bool {
	return d.full || (d.capacity > 0 && d.sizeLocked()+more > d.capacity)
}

// OpenFile implements storage.FileSystem.
func (d *Disk) OpenFile(path string, flag int, mode fs.FileMode) (storage.File, error) {
	generation := d.await()
	d.mu.Lock()
	defer d.mu.Unlock()
	info, statErr := os.Stat(path)
	if errors.Is(statErr, fs.ErrNotExist) && flag&os.O_CREATE != 0 && d.lacksRoom(1) {
		return nil, &fs.PathError{Op: "open", Path: path, Err: syscall.ENOSPC}
	}
	f, err := os.OpenFile(path, flag, mode)
	if err != nil {
		return nil, err
	}
	state := d.files[path]
	switch {
	case errors.Is(statErr, fs.ErrNotExist):
		state = &fileState{}
		d.files[path] = state
		d.pending = append(d.pending, directoryChange{kind: created, path: path, file: state})
	case state == nil:
		// The file was written before the disk was created.
		content, err := os.ReadFile(path)
		if err != nil {
			f.Close()
			return nil, err
		}
		state = &fileState{synced: content, durable: true, size: info.Size()}
		d.files[path] = state
	}
	if flag&os.O_TRUNC != 0 && state.size > 0 {
		state.writes = append(state.writes, write{})
		state.size = 0
	}
	return &file{File: f, disk: d, state: state, generation: generation}, nil
}

// save moves a file to the trash and returns its place there. mu must be held.
func (d *Disk) save(path string) (string, error) {
	if err := os.MkdirAll(d.trash, 0o700); err != nil {
		return "", err
	}
	d.removed++
	place := filepath.Join(d.trash, fmt.Sprint(d.removed))
	return place, os.Rename(path, place)
}

// Rename implements storage.FileSystem.
func (d *Disk) Rename(from, to string) error {
	d.await()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.full {
		return &fs.PathError{Op: "rename", Path: from, Err: syscall.ENOSPC}
	}
	change := directoryChange{kind: renamed, path: from, to: to, file: d.files[from], replaced: d.files[to]}
	if change.replaced != nil {
		var err error
		if change.saved, err = d.save(to); err != nil {
			return err
		}
	}
	if err := os.Rename(from, to); err != nil {
		return err
	}
	delete(d.files, from)
	d.files[to] = change.file
	d.pending = append(d.pending, change)
	return nil
}

// Remove implements storage.FileSystem.
func (d *Disk) Remove(path string) error {
	d.await()
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, err := os.Stat(path); err != nil {
		return err
	}
	place, err := d.save(path)
	if err != nil {
		return err
	}
	d.pending = append(d.pending, directoryChange{kind: removed, path: path, file: d.files[path], saved: place})
	delete(d.files, path)
	return nil
}

// SyncDir implements storage.FileSystem.
func (d *Disk) SyncDir(path string) error {
	d.await()
	d.mu.Lock()
	defer d.mu.Unlock()
	kept := d.pending[:0]
	for _, c := range d.pending {
		if filepath.Dir(c.path) != path {
			kept = append(kept, c)
		} else if c.saved != "" {
			_ = os.Remove(c.saved) // the trash of a test
		}
	}
	d.pending = kept
	return nil
}

// PowerLoss undoes a random part of what has not been synced. Nobody may use the disk
// meanwhile; files that are open keep failing.
func (d *Disk) PowerLoss() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.generation++
	d.stalledUntil = time.Time{}
	allGone := d.random.IntN(3) == 0
	for i := len(d.pending) - 1; i >= 0; i-- {
		c := d.pending[i]
		if c.kind == created && c.file.durable {
			continue
		}
		if allGone || d.random.IntN(2) == 0 {
			if err := d.undo(c); err != nil {
				return err
			}
		}
	}
	d.pending = nil
	for path, state := range d.files {
		if err := d.tear(path, state, allGone); err != nil {
			return err
		}
	}
	return nil
}

// undo takes back a change of a directory, unless a later one that was kept rules that out.
func (d *Disk) undo(c directoryChange) error {
	switch c.kind {
	case created:
		if d.files[c.path] != c.file {
			return nil
		}
		delete(d.files, c.path)
		return os.Remove(c.path)
	case renamed:
		if d.files[c.to] != c.file || d.files[c.path] != nil {
			return nil
		}
		if err := os.Rename(c.to, c.path); err != nil {
			return err
		}
		d.files[c.path] = c.file
		delete(d.files, c.to)
		if c.replaced == nil {
			return nil
		}
		d.files[c.to] = c.replaced
		return os.Rename(c.saved, c.to)
	default:
		if c.file == nil || d.files[c.path] != nil {
			return nil
		}
		d.files[c.path] = c.file
		return os.Rename(c.saved, c.path)
	}
}

// tear writes the content that a file has after a loss of power.
func (d *Disk) tear(path string, state *fileState, allGone bool) error {
	content := append([]byte(nil), state.synced...)
	for _, w := range state.writes {
		if allGone || d.random.IntN(3) == 0 {
			continue
		}
		if w.data == nil {
			content = content[:min(int64(len(content)), w.offset)]
			continue
		}
		data := w.data
		if d.random.IntN(3) == 0 {
			data = data[:d.random.IntN(len(data)+1)]
		}
		if grow := w.offset + int64(len(data)) - int64(len(content)); grow > 0 {
			content = append(content, make([]byte, grow)...)
		}
		copy(content[w.offset:], data)
	}
	state.synced, state.writes, state.durable, state.size = content, nil, true, int64(len(content))
	return os.WriteFile(path, content, 0o600)
}

// file is an open file of a Disk.
type file struct {
	storage.File
	disk       *Disk
	state      *fileState
	generation int
	// position is where Write continues.
	position int64
}

// errPowerLost is the result of operations on files that were open at a loss of power.
var errPowerLost = errors.New("the disk has lost power since the file was opened")

// change records a write, as far as there is room, and returns the bytes to write.
func (f *file) change(w write) ([]byte, error) {
	f.disk.await()
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if f.generation != f.disk.generation {
		return nil, errPowerLost
	}
	var err error
	grow := max(0, w.offset+int64(len(w.data))-f.state.size)
	if f.disk.full || (grow > 0 && f.disk.lacksRoom(grow)) {
		err = syscall.ENOSPC
		w.data = w.data[:f.disk.random.IntN(len(w.data)/2+1)]
		if f.disk.full || f.disk.lacksRoom(int64(len(w.data))) {
			return nil, err
		}
	}
	w.data = append([]byte{}, w.data...)
	f.state.writes = append(f.state.writes, w)
	f.state.size = max(f.state.size, w.offset+int64(len(w.data)))
	return w.data, err
}

func (f *file) Write(p []byte) (int, error) {
	data, err := f.change(write{offset: f.position, data: p})
	n, writeErr := f.File.WriteAt(data, f.position)
	f.position += int64(n)
	return n, errors.Join(err, writeErr)
}

func (f *file) WriteAt(p []byte, offset int64) (int, error) {
	data, err := f.change(write{offset: offset, data: p})
	n, writeErr := f.File.WriteAt(data, offset)
	return n, errors.Join(err, writeErr)
}

func (f *file) Truncate(size int64) error {
	f.disk.await()
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if f.generation != f.disk.generation {
		return errPowerLost
	}
	f.state.writes = append(f.state.writes, write{offset: size})
	f.state.size = min(f.state.size, size)
	return f.File.Truncate(size)
}

func (f *file) Sync() error {
	f.disk.await()
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if f.generation != f.disk.generation {
		return errPowerLost
	}
	content := make([]byte, f.state.size)
	if _, err := f.File.ReadAt(content, 0); err != nil {
		return err
	}
	f.state.synced, f.state.writes, f.state.durable = content, nil, true
	return nil
}
