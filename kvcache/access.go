package kvcache

import (
	"math"
	"strconv"
	"strings"
	"sync"
	"time"
)

// AccessRecord records when and how often a block was accessed. Its times are
// relative to the epoch of the statistics that maintain it.
type AccessRecord struct {
	lastAccess time.Duration
	// interval is the moving average of the time between accesses in seconds; 0
	// after a single access.
	interval  float32
	accesses  uint16
	depth     uint16
	accountID uint16
	classID   uint8
}

// Accesses returns the number of accesses; it saturates at 65535.
func (r *AccessRecord) Accesses() int { return int(r.accesses) }

// Depth returns the block's position in its context, from 0.
func (r *AccessRecord) Depth() int { return int(r.depth) }

const (
	// intervalWeight is the smoothing factor of a block's mean interval.
	intervalWeight = 0.4
	// accessBuckets separates first, second and later accesses.
	accessBuckets = 3
	// priorReuses and priorAccesses are the pseudo-counts of the prior: without
	// observations half of the contexts count as reused.
	priorReuses   = 2.0
	priorAccesses = 4.0
	// intervalBuckets is the number of histogram buckets, whose bounds are powers of
	// two times intervalUnit.
	intervalBuckets = 48
	intervalUnit    = time.Millisecond
	// periodicThreshold is the mean deviation below which a class's contexts count
	// as periodically reused. The deviation is the absolute logarithm of the ratio
	// of an interval to the mean of those before it.
	periodicThreshold = 0.7
	// initialDeviation is assumed for a class until intervals are observed.
	initialDeviation = 0.6
	deviationWeight  = 0.05
	// maxAccounts bounds the client accounts that are tracked separately. Further
	// ones share index 0 with the first.
	maxAccounts = 1 << 15
	// maxClasses bounds the classes that are tracked separately.
	maxClasses = 64
	// decayCount is the count at which a class's statistics are halved, so that
	// they follow changes.
	decayCount = 4096
)

// classStats is the reuse statistics of a class of contexts.
type classStats struct {
	name   string
	weight float64
	// accesses and reuses count, by access number, the accessed contexts and those
	// that were accessed again.
	accesses      [accessBuckets]float64
	reuses        [accessBuckets]float64
	intervals     [intervalBuckets]float64
	intervalTotal float64
	// deviation is the moving average of the absolute logarithm of the ratio of an
	// interval to the mean of those before it.
	deviation float64
}

// AccessStats collects statistics on how contexts are reused, by class. It is safe
// for concurrent use.
type AccessStats struct {
	mu       sync.RWMutex
	epoch    time.Time
	classes  []classStats
	classIDs map[string]uint8
	// accountNames lists the client accounts, accountIDs maps each to its index there.
	accountIDs   map[string]uint16
	accountNames []string
}

// NewAccessStats returns empty statistics with the given epoch.
func NewAccessStats(epoch time.Time) *AccessStats {
	return &AccessStats{epoch: epoch, classIDs: make(map[string]uint8), accountIDs: make(map[string]uint16)}
}

// recordAccess records an access to a block. Only a context's first block counts
// in the class statistics.
func (s *AccessStats) recordAccess(r *AccessRecord, request *LookupRequest, isFirst bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sinceEpoch := now.Sub(s.epoch)
	r.classID, r.accountID = s.classID(request.Class, request.Weight), s.accountID(request.ClientAccount)
	c := &s.classes[r.classID]
	if r.accesses > 0 {
		interval := max(intervalUnit, sinceEpoch-r.lastAccess)
		if isFirst {
			c.recordReuse(r, interval)
		}
		r.addInterval(interval)
	}
	r.lastAccess = sinceEpoch
	if r.accesses < math.MaxUint16 {
		r.accesses++
	}
	if isFirst {
		c.recordAccess(accessBucket(r.accesses))
	}
}

// addInterval updates the mean interval.
func (r *AccessRecord) addInterval(interval time.Duration) {
	seconds := float32(interval.Seconds())
	if r.interval == 0 {
		r.interval = seconds
		return
	}
	r.interval += intervalWeight * (seconds - r.interval)
}

// accessBucket returns the index in the class statistics for an access number from 1.
func accessBucket(accesses uint16) int { return min(int(accesses), accessBuckets) - 1 }

// recordAccess counts an access, and halves the counts at decayCount.
func (c *classStats) recordAccess(bucket int) {
	c.accesses[bucket]++
	if c.accesses[bucket] < decayCount {
		return
	}
	c.accesses[bucket] /= 2
	c.reuses[bucket] /= 2
}

// recordReuse counts the reuse of a context after an interval.
func (c *classStats) recordReuse(r *AccessRecord, interval time.Duration) {
	c.reuses[accessBucket(r.accesses)]++
	c.intervals[intervalBucket(interval)]++
	c.intervalTotal++
	if c.intervalTotal >= decayCount {
		for i := range c.intervals {
			c.intervals[i] /= 2
		}
		c.intervalTotal /= 2
	}
	if r.interval > 0 {
		deviation := math.Abs(math.Log(interval.Seconds() / float64(r.interval)))
		c.deviation += deviationWeight * (deviation - c.deviation)
	}
}

// intervalBucket returns the histogram bucket of an interval of at least
// intervalUnit.
func intervalBucket(interval time.Duration) int {
	return min(intervalBuckets-1, int(math.Log2(float64(interval)/float64(intervalUnit))))
}

// classID returns the number of a class. Once maxClasses are known, the last one
// is shared by all further classes.
func (s *AccessStats) classID(name string, weight float64) uint8 {
	n, ok := s.classIDs[name]
	if !ok {
		if len(s.classes) == maxClasses {
			return maxClasses - 1
		}
		n = uint8(len(s.classes))
		s.classIDs[name] = n
		s.classes = append(s.classes, classStats{name: name, deviation: initialDeviation})
	}
	s.classes[n].weight = weight
	return n
}

// accountID returns the index of a client account in accountNames, and adds the account
// if it is unknown. Accounts beyond maxAccounts get 0, which is the first account's.
func (s *AccessStats) accountID(name string) uint16 {
	n, ok := s.accountIDs[name]
	if !ok && len(s.accountNames) < maxAccounts {
		n = uint16(len(s.accountNames))
		s.accountIDs[name] = n
		s.accountNames = append(s.accountNames, name)
	}
	return n
}

// Age returns the time since a block's last access, at least 0.
func (s *AccessStats) Age(r *AccessRecord, now time.Time) time.Duration {
	return max(0, now.Sub(s.epoch)-r.lastAccess)
}

// PredictReuse returns the probability that a context is accessed again, given the
// time since its last access; the expected time until then; and the weight of its
// class. For a context that was never accessed, probability and weight are 0.
func (s *AccessStats) PredictReuse(r *AccessRecord, now time.Time) (probability float64, delay time.Duration, weight float64) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if int(r.classID) >= len(s.classes) || r.accesses == 0 {
		return 0, time.Hour, 0
	}
	c := &s.classes[r.classID]
	b := accessBucket(r.accesses)
	probability = (c.reuses[b] + priorReuses) / (c.accesses[b] + priorAccesses)
	probability = min(probability, 1)
	age := s.Age(r, now)
	if r.interval > 0 && c.deviation < periodicThreshold {
		decay, delay := predictPeriodic(time.Duration(float64(r.interval)*float64(time.Second)), age)
		return probability * decay, delay, c.weight
	}
	survival, delay := c.residual(age, now.Sub(s.epoch)/2)
	// Bayes' rule: the longer a context has not been accessed, the less likely is
	// its reuse.
	probability = probability * survival / (probability*survival + 1 - probability + math.SmallestNonzeroFloat64)
	return probability, delay, c.weight
}

const (
	// minDelayFactor is the lower bound of the time until a reuse, relative to the
	// mean interval.
	minDelayFactor = 0.1
	// overdueFactor is the age, relative to the mean interval, beyond which the
	// probability of a reuse decays.
	overdueFactor = 1.4
)

// predictPeriodic returns, for a periodically reused context, the factor by which the
// reuse probability decays and the expected time until the reuse.
func predictPeriodic(interval, age time.Duration) (decay float64, delay time.Duration) {
	minDelay := time.Duration(minDelayFactor * float64(interval))
	excess := float64(age)/float64(interval) - overdueFactor
	if excess <= 0 {
		return 1, max(interval-age, minDelay)
	}
	return math.Exp(-2 * excess), time.Duration((1 + excess) * float64(interval))
}

// residual returns the fraction of intervals that are longer than an age, and
// their mean remaining time. If no such interval was observed, the time is the
// largest of the age, the fallback and one second.
func (c *classStats) residual(age, fallback time.Duration) (survival float64, delay time.Duration) {
	if c.intervalTotal == 0 {
		return 1, max(age, fallback, time.Second)
	}
	var longerCount, sum float64
	for i := range c.intervals {
		midpoint := float64(intervalUnit) * math.Exp2(float64(i)+0.5)
		if midpoint > float64(age) {
			longerCount += c.intervals[i]
			sum += c.intervals[i] * (midpoint - float64(age))
		}
	}
	if longerCount == 0 {
		return 1 / (c.intervalTotal + 1), max(age, fallback, time.Second)
	}
	return longerCount / c.intervalTotal, max(intervalUnit, time.Duration(sum/longerCount))
}

// BlockMetadata is the metadata stored with a block, from which the catalogue is
// rebuilt when the stores are listed.
type BlockMetadata struct {
	ClientAccount string
	Class         string
	Weight        float64
	Accesses      uint16
	Depth         uint16
	// MeanInterval is the mean time between accesses; 0 after a single access.
	MeanInterval time.Duration
}

// metadataFields is the number of encoded fields.
const metadataFields = 6

// String encodes the metadata for an HTTP header. Names must not contain the
// separator "|".
func (m BlockMetadata) String() string {
	return strings.Join([]string{
		m.ClientAccount, m.Class, strconv.FormatFloat(m.Weight, 'g', 4, 64),
		strconv.Itoa(int(m.Accesses)), strconv.Itoa(int(m.Depth)), m.MeanInterval.Round(time.Millisecond).String(),
	}, "|")
}

// ParseBlockMetadata decodes what String encodes. Invalid text gives the zero value.
func ParseBlockMetadata(text string) BlockMetadata {
	fields := strings.Split(text, "|")
	if len(fields) != metadataFields {
		return BlockMetadata{}
	}
	weight, err1 := strconv.ParseFloat(fields[2], 64)
	accesses, err2 := strconv.ParseUint(fields[3], 10, 16)
	depth, err3 := strconv.ParseUint(fields[4], 10, 16)
	interval, err4 := time.ParseDuration(fields[5])
	if err1 != nil || err2 != nil || err3 != nil || err4 != nil {
		return BlockMetadata{}
	}
	return BlockMetadata{ClientAccount: fields[0], Class: fields[1], Weight: weight, Accesses: uint16(accesses), Depth: uint16(depth), MeanInterval: interval}
}

// restore sets a block's access record from its metadata. The time of the last
// access is not stored, so the block counts as accessed now.
func (s *AccessStats) restore(r *AccessRecord, m BlockMetadata, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.classID, r.accountID = s.classID(m.Class, m.Weight), s.accountID(m.ClientAccount)
	r.accesses, r.depth = max(1, m.Accesses), m.Depth
	r.interval = float32(m.MeanInterval.Seconds())
	r.lastAccess = now.Sub(s.epoch)
}

// AccountID returns the index of the block's client account in its AccessStats. Accounts
// beyond maxAccounts share index 0 with the first.
func (r *AccessRecord) AccountID() int { return int(r.accountID) }

// metadata returns the metadata to store with a block.
func (s *AccessStats) metadata(r *AccessRecord) BlockMetadata {
	s.mu.RLock()
	defer s.mu.RUnlock()
	m := BlockMetadata{Accesses: r.accesses, Depth: r.depth, MeanInterval: time.Duration(float64(r.interval) * float64(time.Second))}
	if int(r.accountID) < len(s.accountNames) {
		m.ClientAccount = s.accountNames[r.accountID]
	}
	if int(r.classID) < len(s.classes) {
		m.Class, m.Weight = s.classes[r.classID].name, s.classes[r.classID].weight
	}
	return m
}
