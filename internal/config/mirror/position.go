package mirror

// Position is a point in the history of a store. A store that is restored from a copy begins a new era, in which it
// assigns the revisions after that of the copy again.
type Position struct {
	Era, Revision int64
}

const (
	eraBits      = 12
	revisionBits = 50
	// MaxEra is the highest era. Era, revision and a bit for deletions share one int64; see [Position.Version].
	MaxEra = 1<<eraBits - 1
	// MaxRevision is the highest revision in an era above 0: that after 3,500 years of 10,000 writes a second.
	MaxRevision = 1<<revisionBits - 1
)

// Version orders positions, and at one position present objects before deleted ones, as one number. In era 0 it is twice
// the revision, plus one if the object is deleted; a higher era is above all revisions up to [MaxRevision] of era 0.
func (p Position) Version(deleted bool) int64 {
	v := 2 * p.Revision
	if p.Era > 0 {
		v = min(p.Era, MaxEra)<<(revisionBits+1) | 2*min(max(p.Revision, 0), MaxRevision)
	}
	if deleted {
		v++
	}
	return v
}
