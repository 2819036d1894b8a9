package peer

import (
	"slices"
	"time"
)

// maxListedBuckets bounds the buckets that one digest lists fact by fact; the rest follows in later rounds.
const maxListedBuckets = 16

// antiEntropy starts a comparison with one connection in turn.
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
	m.digestTurn++
	l := m.links[ids[m.digestTurn%len(ids)]]
	m.send(l, &message{Kind: kindDigest, Digest: &digest{Step: digestRoot, Root: m.facts.root()}}, now)
}

// answerDigest takes one step of a comparison.
func (m *machine) answerDigest(l *link, d *digest, now time.Time) {
	switch d.Step {
	case digestRoot:
		if d.Root != m.facts.root() {
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

// listBuckets answers the other side's bucket hashes with the facts of the buckets that differ.
func (m *machine) listBuckets(l *link, theirs []uint32, now time.Time) {
	mine := m.facts.bucketHashes()
	d := &digest{Step: digestPairs}
	listed := map[int]bool{}
	first := l.chosen
	for i := 0; i < bucketCount && len(d.Chosen) < maxListedBuckets; i++ {
		b := (first + i) % bucketCount
		if mine[b] == theirs[b] {
			continue
		}
		d.Chosen = append(d.Chosen, uint8(b))
		listed[b] = true
		l.chosen = b + 1
	}
	if len(d.Chosen) == 0 {
		return
	}
	for id, f := range m.facts.byID {
		if listed[bucketOf(id)] && len(d.Pairs) < maxArrayLen {
			d.Pairs = append(d.Pairs, id, f.Version)
		}
	}
	m.sendDigest(l, d, now)
}

// comparePairs queues the facts in which this member is ahead and asks for those in which it is behind.
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
		version, known := theirs[id]
		if slices.Contains(d.Chosen, uint8(bucketOf(id))) && (!known || version < f.Version) {
			m.queue(l, f, now)
		}
	}
	if len(want) > 0 {
		m.sendDigest(l, &digest{Step: digestWant, Want: want}, now)
	}
}
