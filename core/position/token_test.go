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

func sealer(t testing.TB, secret string) *position.TokenSigner {
	t.Helper()
	tokenSigner, err := position.NewTokenSigner([]byte(secret))
	if err != nil {
		t.Fatal(err)
	}
	return tokenSigner
}

// TestOpenRejects guards against accepting tokens that are malformed, altered, signed with another secret or issued to
// another organisation.
func TestOpenRejects(t *testing.T) {
	own := sealer(t, "0123456789abcdef")
	token := own.Sign("frissito", position.In("g1", at(2, 7)))
	cases := map[string]string{
		"empty":                "",
		"truncated":            token[:len(token)-2],
		"truncated in front":   token[2:],
		"other secret":         sealer(t, "another secret..").Sign("frissito", position.In("g1", at(2, 7))),
		"other organisation":   own.Sign("seixal", position.In("g1", at(2, 7))),
		"not base64":           token + "!",
		"too long":             strings.Repeat("A", position.MaxTokenBytes+1),
		"changed first letter": "B" + token[1:],
	}
	for name, bad := range cases {
		t.Run(name, func(t *testing.T) {
			if _, err := own.Verify("frissito", bad); !errors.Is(err, errors.NotValid) {
				t.Errorf("error %v", err)
			}
		})
	}
	if _, err := position.NewTokenSigner([]byte("short")); !errors.Is(err, errors.NotValid) {
		t.Errorf("short secret: %v", err)
	}
}

// TestTokenRoundTrip guards against an encoding that loses or changes positions.
func TestTokenRoundTrip(t *testing.T) {
	own := sealer(t, "0123456789abcdef")
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(7))
	properties.Property("Verify returns the positions passed to Sign", prop.ForAll(func(org string, groups []string, term, log uint64) bool {
		groupPosition := []position.GroupPosition{}
		for index, group := range groups {
			groupPosition = append(groupPosition, position.In(ids.GroupID(group), at(ids.Term(term)+ids.Term(index), ids.LogPosition(log))))
		}
		opened, err := own.Verify(ids.OrganisationID(org), own.Sign(ids.OrganisationID(org), groupPosition...))
		if err != nil || len(opened) != len(groupPosition) {
			return false
		}
		for index := range groupPosition {
			if opened[index] != groupPosition[index] {
				return false
			}
		}
		return true
	}, gen.AlphaString(), gen.SliceOfN(3, gen.AlphaString()), gen.UInt64(), gen.UInt64()))
	properties.TestingRun(t)
}

// FuzzOpen guards against panics on malformed tokens and against accepting text that Sign did not produce.
func FuzzOpen(f *testing.F) {
	own := sealer(f, "0123456789abcdef")
	valid := own.Sign("frissito", position.In("g1", at(2, 7)))
	for _, seed := range []string{"", valid, valid[:len(valid)-1], valid + "A", own.Sign("seixal")} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, token string) {
		groupPosition, err := own.Verify("frissito", token)
		if err == nil && own.Sign("frissito", groupPosition...) != token {
			t.Errorf("accepted %q, which Sign did not produce", token)
		}
	})
}
