package ids

import "strconv"

// Era counts how often the key-value service was restored from an older copy of its data. Each time it loses the writes since that
// copy, and gives out their numbers again. It is 0 for a service that is never restored.
type Era int64

// Revision identifies a change of the data of the key-value service: the number that the service assigned to it, within an era. The
// era is part of it because the same number stands for different changes before and after a restore. Revisions of a later era are
// greater than all revisions of earlier ones.
type Revision int64

const (
	// numberBits is the size of the number within a revision. It suffices for 17,500 changes a second, the heartbeats of 21,000
	// servers, for 30 years.
	numberBits = 44
	// MaxRevisionNumber is the highest number within a revision.
	MaxRevisionNumber = 1<<numberBits - 1
	// MaxEra is the highest era.
	MaxEra Era = 1<<(63-numberBits) - 1
)

// NewRevision returns the revision of the change that has the number within the era.
func NewRevision(era Era, number int64) Revision { return Revision(int64(era)<<numberBits | number) }

// Era returns the era of the revision.
func (revision Revision) Era() Era { return Era(revision >> numberBits) }

// Number returns the number that the service assigned to the change.
func (revision Revision) Number() int64 { return int64(revision & MaxRevisionNumber) }

// String returns the number, with the era in front of it if the service has eras: 2.34.
func (revision Revision) String() string {
	number := strconv.FormatInt(revision.Number(), 10)
	if revision.Era() == 0 {
		return number
	}
	return strconv.FormatInt(int64(revision.Era()), 10) + "." + number
}
