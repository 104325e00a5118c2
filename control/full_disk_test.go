package control

import (
	"context"
	"fmt"
	"io/fs"
	"math/rand/v2"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/api/controlv1"
	"github.com/galenaarch/galenaarch/control/state"
	"github.com/galenaarch/galenaarch/storage"
)

// Parameters of TestChangesGoOnWhenDisksFillInTurn.
const (
	// ackTime is the users' bound on the acknowledgement of a change.
	ackTime = 4 * time.Second
	// fullFor is how long each disk is full, fullBreak the time until the next one is.
	fullFor   = 2500 * time.Millisecond
	fullBreak = 500 * time.Millisecond
	// fullDiskSnapshots is the number of entries between snapshots: several are due while
	// each disk is full.
	fullDiskSnapshots = 40
	changeInterval    = 20 * time.Millisecond
)

// fullDisk is a file system that can be full: then each operation that may need room fails
// with failShare, and failing writes leave a part of their data.
type fullDisk struct {
	storage.OSFiles

	mu        sync.Mutex
	random    *rand.Rand
	full      bool
	failShare float64
	failures  int
}

func (d *fullDisk) setFull(full bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.full = full
}

// fails returns ENOSPC if an operation fails, and the share of its data that is written.
func (d *fullDisk) fails() (written float64, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.full || d.random.Float64() >= d.failShare {
		return 1, nil
	}
	d.failures++
	return d.random.Float64(), syscall.ENOSPC
}

func (d *fullDisk) OpenFile(path string, flag int, mode fs.FileMode) (storage.File, error) {
	if _, err := d.fails(); err != nil {
		return nil, &fs.PathError{Op: "open", Path: path, Err: err}
	}
	f, err := d.OSFiles.OpenFile(path, flag, mode)
	if err != nil {
		return nil, err
	}
	return &fullDiskFile{File: f, disk: d}, nil
}

func (d *fullDisk) Rename(from, to string) error {
	if _, err := d.fails(); err != nil {
		return err
	}
	return d.OSFiles.Rename(from, to)
}

func (d *fullDisk) SyncDir(path string) error {
	if _, err := d.fails(); err != nil {
		return err
	}
	return d.OSFiles.SyncDir(path)
}

// fullDiskFile is a file on a fullDisk.
type fullDiskFile struct {
	storage.File
	disk *fullDisk
}

func (f *fullDiskFile) Write(p []byte) (int, error) {
	share, err := f.disk.fails()
	n, writeErr := f.File.Write(p[:int(share*float64(len(p)))])
	if err == nil {
		err = writeErr
	}
	return n, err
}

func (f *fullDiskFile) WriteAt(p []byte, offset int64) (int, error) {
	share, err := f.disk.fails()
	n, writeErr := f.File.WriteAt(p[:int(share*float64(len(p)))], offset)
	if err == nil {
		err = writeErr
	}
	return n, err
}

func (f *fullDiskFile) Sync() error {
	if _, err := f.disk.fails(); err != nil {
		return err
	}
	return f.File.Sync()
}

func (f *fullDiskFile) Truncate(size int64) error {
	if _, err := f.disk.fails(); err != nil {
		return err
	}
	return f.File.Truncate(size)
}

// TestChangesGoOnWhenDisksFillInTurn guards against replicas that stay out of the group, or
// keep it from acknowledging changes, after their disks have room again: the disk of one
// replica after the other is full for seconds, that of the leader first, twice.
func TestChangesGoOnWhenDisksFillInTurn(t *testing.T) {
	tests := []struct {
		replicas  int
		failShare float64
		seed      uint64
	}{{3, 1, 1}, {3, 0.5, 2}, {3, 0.2, 3}, {5, 1, 4}, {5, 0.5, 5}, {5, 0.2, 6}}
	for _, tt := range tests {
		t.Run(fmt.Sprintf("%d replicas, share %v, seed %d", tt.replicas, tt.failShare, tt.seed), func(t *testing.T) {
			t.Parallel()
			testDisksFillInTurn(t, tt.replicas, tt.failShare, tt.seed)
		})
	}
}

func testDisksFillInTurn(t *testing.T, replicas int, failShare float64, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 1))
	disks := make(map[string]*fullDisk)
	g := newTestGroupOn(t, replicas, fullDiskSnapshots, func(name string) storage.FileSystem {
		disks[name] = &fullDisk{random: rand.New(rand.NewPCG(seed, uint64(len(disks)+2))), failShare: failShare}
		return disks[name]
	})
	g.begin("a", "first")
	ctx, stop := context.WithCancel(t.Context())
	var mu sync.Mutex
	var lastRoomAt time.Time
	var slowest time.Duration
	acknowledged := 1
	var changes sync.WaitGroup
	changes.Go(func() {
		for i := 0; ctx.Err() == nil; i++ {
			key := fmt.Sprint(i)
			changes.Go(func() {
				sentAt := time.Now()
				changeCtx, cancel := context.WithTimeout(t.Context(), testTimeout)
				defer cancel()
				_, err := g.client.BeginCall(changeCtx, &controlv1.BeginCallRequest{ClientAccount: "a", Key: key, BodyDigest: []byte("d"), Entry: "e", Server: "s", DispatchId: key})
				mu.Lock()
				defer mu.Unlock()
				if err != nil {
					t.Errorf("change %s: %v", key, err)
					return
				}
				acknowledged++
				slowest = max(slowest, time.Since(sentAt))
				if room := lastRoomAt; !room.IsZero() && time.Since(room) > ackTime && time.Since(sentAt) > ackTime {
					t.Errorf("change %s was acknowledged %v after it was sent, %v after the last disk had room", key, time.Since(sentAt), time.Since(room))
				}
			})
			time.Sleep(changeInterval)
		}
	})
	for range 2 {
		order := append([]string{g.leader()}, g.followers(g.leader())...)
		random.Shuffle(len(order)-1, func(i, j int) { order[i+1], order[j+1] = order[j+1], order[i+1] })
		for _, name := range order {
			disks[name].setFull(true)
			time.Sleep(fullFor)
			disks[name].setFull(false)
			time.Sleep(fullBreak)
		}
	}
	mu.Lock()
	lastRoomAt = time.Now()
	mu.Unlock()
	time.Sleep(ackTime)
	stop()
	changes.Wait()
	status := func() (list []string) {
		for _, name := range g.names {
			log := g.running[name].Log()
			var calls uint64
			log.ReadLocal(func(st *state.State) { calls = st.Status("").CallsRecorded })
			if err := log.group.Err(); err != nil || int(calls) != acknowledged {
				list = append(list, fmt.Sprintf("%s has %d of %d changes: %v", name, calls, acknowledged, err))
			}
		}
		return list
	}
	require.Eventually(t, func() bool { return len(status()) == 0 }, ackTime, 20*time.Millisecond, "every replica has the last change")
	failures := 0
	for name, disk := range disks {
		require.Positive(t, disk.failures, name)
		failures += disk.failures
	}
	t.Logf("%d changes, the slowest took %v; %d failed operations; %v", acknowledged, slowest, failures, status())
}

// blockedSnapshots is a file system on which the state of the first snapshot of a replica is
// written only after release is closed.
type blockedSnapshots struct {
	storage.OSFiles
	once             sync.Once
	blocked, release chan struct{}

	mu sync.Mutex
	// open counts the open files of unfinished snapshots.
	open, maxOpen int
}

func (b *blockedSnapshots) OpenFile(path string, flag int, mode fs.FileMode) (storage.File, error) {
	f, err := b.OSFiles.OpenFile(path, flag, mode)
	if err == nil && filepath.Base(path) == "outgoing.tmp" {
		f = &blockedSnapshotFile{File: f, disk: b}
		b.mu.Lock()
		defer b.mu.Unlock()
		b.open++
		b.maxOpen = max(b.maxOpen, b.open)
	}
	return f, err
}

type blockedSnapshotFile struct {
	storage.File
	disk   *blockedSnapshots
	writes int
}

func (f *blockedSnapshotFile) Write(p []byte) (int, error) {
	if f.writes++; f.writes == 2 { // the first write is that of the metadata
		f.disk.once.Do(func() {
			close(f.disk.blocked)
			<-f.disk.release
		})
	}
	return f.File.Write(p)
}

// TestSnapshotOfFailedLogEndsBeforeNext guards against a failed log that still writes a
// snapshot after it was reopened, into the file of the next snapshot.
func TestSnapshotOfFailedLogEndsBeforeNext(t *testing.T) {
	const threshold = 20
	disk := &blockedSnapshots{blocked: make(chan struct{}), release: make(chan struct{})}
	g := newTestGroupOn(t, 1, threshold, func(string) storage.FileSystem { return disk })
	for i := range threshold + 5 {
		g.begin("a", fmt.Sprint("first-", i))
	}
	<-disk.blocked
	r := g.running[g.names[0]]
	failed := r.Log()
	failed.group.Fail(syscall.ENOSPC)
	time.Sleep(ackTime / 2) // the log is reopened meanwhile, unless that waits for the snapshot
	close(disk.release)
	for i := range 2 * threshold {
		g.begin("a", fmt.Sprint("second-", i))
	}
	require.NotSame(t, failed, r.Log())
	disk.mu.Lock()
	defer disk.mu.Unlock()
	require.Equal(t, 1, disk.maxOpen, "files of unfinished snapshots that were open at once")
}

func (f *blockedSnapshotFile) Close() error {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	f.disk.open--
	return f.File.Close()
}

// TestProcessStartsOnceItsDiskHasRoom guards against a control process that ends at each start
// while its disk is full, instead of waiting for room.
func TestProcessStartsOnceItsDiskHasRoom(t *testing.T) {
	disk := &fullDisk{random: rand.New(rand.NewPCG(1, 1)), failShare: 1, full: true}
	const fullFor = 300 * time.Millisecond
	time.AfterFunc(fullFor, func() { disk.setFull(false) })
	began := time.Now()
	g := newTestGroupOn(t, 1, 0, func(string) storage.FileSystem { return disk })
	require.GreaterOrEqual(t, time.Since(began), fullFor)
	g.begin("a", "1")
}
