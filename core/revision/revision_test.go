package revision_test

import (
	"testing"

	"github.com/matryer/is"

	"sassafrasward/core/revision"
)

// TestOrder guards against a change after a restore that counts as older than a lost one, because its number is lower.
func TestOrder(t *testing.T) {
	is := is.New(t)
	ordered := []revision.Revision{{}, revision.New(0, 9), revision.New(1, 0), revision.New(1, 9), revision.New(2, 8), revision.New(2, 9)}
	for i, a := range ordered {
		for j, b := range ordered {
			is.Equal(a.Before(b), i < j)
			is.Equal(a.After(b), i > j)
			is.Equal(revision.Max(a, b), ordered[max(i, j)])
			is.Equal(revision.Min(a, b), ordered[min(i, j)])
		}
	}
}
