package peer

import (
	"slices"
	"time"
)

// maxListedBuckets is the number of buckets whose facts one digest lists; later rounds list the others.
const maxListedBuckets = 16

// antiEntropy compares facts with one connected member about every digestInterval, in round-robin order.
func (m *machine) antiEntropy(now time.Time) {
	if now.Before(m.nextDigest) || len(m.links) == 0 {
		return
	}
	m.nextDigest = now.Add(digestInterval/2 + m.jitter(digestInterval))
	ids := make([]linkID, 0, len(m.links))
	for id := range m.links {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	m.digestRound++
	l := m.links[ids[m.digestRound%len(ids)]]
	m.send(l, &message{Kind: kindDigest, Digest: &digest{Step: digestRoot, Root: m.facts.rootHash()}}, now)
}

// handleDigest handles one step of a comparison: it sends the next step or queues the requested facts.
func (m *machine) handleDigest(l *link, d *digest, now time.Time) {
	switch d.Step {
	case digestRoot:
		if d.Root != m.facts.rootHash() {
			m.sendDigest(l, &digest{Step: digestBuckets, Buckets: m.facts.bucketHashes()}, now)
		}
	case digestBuckets:
		m.listBuckets(l, d.Buckets, now)
	case digestPairs:
		m.comparePairs(l, d, now)
	case digestWant:
		for _, id := range d.Want {
			if f := m.facts.byID[id]; f != nil {
				m.queue(l, f, now)
			}
		}
	}
}

func (m *machine) sendDigest(l *link, d *digest, now time.Time) {
	m.send(l, &message{Kind: kindDigest, Digest: d}, now)
}

// listBuckets replies to the bucket hashes of the other side with the IDs and versions of the facts in buckets that
// differ.
func (m *machine) listBuckets(l *link, theirs []uint32, now time.Time) {
	mine := m.facts.bucketHashes()
	d := &digest{Step: digestPairs}
	listed := map[int]bool{}
	start := l.nextBucket
	for i := 0; i < bucketCount && len(d.Listed) < maxListedBuckets; i++ {
		b := (start + i) % bucketCount
		if mine[b] == theirs[b] {
			continue
		}
		d.Listed = append(d.Listed, uint8(b))
		listed[b] = true
		l.nextBucket = b + 1
	}
	if len(d.Listed) == 0 {
		return
	}
	for id, f := range m.facts.byID {
		if listed[bucketOf(id)] && len(d.Pairs) < maxArrayLen {
			d.Pairs = append(d.Pairs, id, f.Version)
		}
	}
	m.sendDigest(l, d, now)
}

// comparePairs queues the facts of which this member has a higher version and requests those of which it has a lower
// one.
func (m *machine) comparePairs(l *link, d *digest, now time.Time) {
	theirs := make(map[uint64]uint64, len(d.Pairs)/2)
	var want []uint64
	for i := 0; i+1 < len(d.Pairs); i += 2 {
		id, version := d.Pairs[i], d.Pairs[i+1]
		theirs[id] = version
		if f := m.facts.byID[id]; f == nil || f.Version < version {
			want = append(want, id)
		}
	}
	for id, f := range m.facts.byID {
		version, present := theirs[id]
		if slices.Contains(d.Listed, uint8(bucketOf(id))) && (!present || version < f.Version) {
			m.queue(l, f, now)
		}
	}
	if len(want) > 0 {
		m.sendDigest(l, &digest{Step: digestWant, Want: want}, now)
	}
}
