package position_test

import (
	"strings"
	"testing"

	"github.com/juju/errors"
	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"dotterelgw/core/ids"
	"dotterelgw/core/position"
)

func sealer(t testing.TB, secret string) *position.Sealer {
	t.Helper()
	sealer, err := position.NewSealer([]byte(secret))
	if err != nil {
		t.Fatal(err)
	}
	return sealer
}

// TestOpenRejects guards against accepting tokens that are malformed, altered, signed with another secret or issued to
// another organisation.
func TestOpenRejects(t *testing.T) {
	own := sealer(t, "0123456789abcdef")
	token := own.Seal("frissito", position.Held{Group: "g1", Position: at(2, 7)})
	cases := map[string]string{
		"empty":                "",
		"truncated":            token[:len(token)-2],
		"truncated in front":   token[2:],
		"other secret":         sealer(t, "another secret..").Seal("frissito", position.Held{Group: "g1", Position: at(2, 7)}),
		"other organisation":   own.Seal("seixal", position.Held{Group: "g1", Position: at(2, 7)}),
		"not base64":           token + "!",
		"too long":             strings.Repeat("A", position.MaxTokenBytes+1),
		"changed first letter": "B" + token[1:],
	}
	for name, bad := range cases {
		t.Run(name, func(t *testing.T) {
			if _, err := own.Open("frissito", bad); !errors.Is(err, errors.NotValid) {
				t.Errorf("error %v", err)
			}
		})
	}
	if _, err := position.NewSealer([]byte("short")); !errors.Is(err, errors.NotValid) {
		t.Errorf("short secret: %v", err)
	}
}

// TestTokenRoundTrip guards against an encoding that loses or changes positions.
func TestTokenRoundTrip(t *testing.T) {
	own := sealer(t, "0123456789abcdef")
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(7))
	properties.Property("Open returns the positions passed to Seal", prop.ForAll(func(org string, groups []string, term, log uint64) bool {
		held := []position.Held{}
		for index, group := range groups {
			held = append(held, position.Held{Group: ids.GroupID(group), Position: at(ids.Term(term)+ids.Term(index), ids.LogPosition(log))})
		}
		opened, err := own.Open(ids.OrganisationID(org), own.Seal(ids.OrganisationID(org), held...))
		if err != nil || len(opened) != len(held) {
			return false
		}
		for index := range held {
			if opened[index] != held[index] {
				return false
			}
		}
		return true
	}, gen.AlphaString(), gen.SliceOfN(3, gen.AlphaString()), gen.UInt64(), gen.UInt64()))
	properties.TestingRun(t)
}

// FuzzOpen guards against panics on malformed tokens and against accepting text that Seal did not produce.
func FuzzOpen(f *testing.F) {
	own := sealer(f, "0123456789abcdef")
	valid := own.Seal("frissito", position.Held{Group: "g1", Position: at(2, 7)})
	for _, seed := range []string{"", valid, valid[:len(valid)-1], valid + "A", own.Seal("seixal")} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, token string) {
		held, err := own.Open("frissito", token)
		if err == nil && own.Seal("frissito", held...) != token {
			t.Errorf("accepted %q, which Seal did not produce", token)
		}
	})
}
