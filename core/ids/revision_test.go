package ids_test

import (
	"testing"

	"dotterelgw/core/ids"
)

// Guards against a revision of a later era that compares as older than one of an earlier era with a higher number.
func TestRevisionOrder(t *testing.T) {
	ordered := []ids.Revision{
		ids.NewRevision(0, 0), ids.NewRevision(0, 9), ids.NewRevision(0, ids.MaxRevisionNumber), ids.NewRevision(1, 0), ids.NewRevision(1, 8),
		ids.NewRevision(2, 1), ids.NewRevision(ids.MaxEra, ids.MaxRevisionNumber),
	}
	for index, revision := range ordered {
		if again := ids.NewRevision(revision.Era(), revision.Number()); again != revision {
			t.Errorf("%v has era %d and number %d", revision, revision.Era(), revision.Number())
		}
		if index > 0 && revision <= ordered[index-1] {
			t.Errorf("%v is not greater than %v", revision, ordered[index-1])
		}
	}
}

// Guards against log lines in which revisions of two eras look the same.
func TestRevisionString(t *testing.T) {
	for want, revision := range map[string]ids.Revision{"34": ids.NewRevision(0, 34), "2.34": ids.NewRevision(2, 34)} {
		if got := revision.String(); got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
}
