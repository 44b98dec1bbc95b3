package contract_test

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"dotterelgw/core/contract"
	"dotterelgw/core/ids"
)

func readTestdata(t testing.TB, kind string) map[string][]byte {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join("testdata", kind, "*.toml"))
	if err != nil || len(paths) == 0 {
		t.Fatalf("no cases for %s: %v", kind, err)
	}
	texts := map[string][]byte{}
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		texts[strings.TrimSuffix(filepath.Base(path), ".toml")] = text
	}
	return texts
}

// TestParseValid guards against changes of the default values and of the output of Format, and against a Format whose output
// parses to a different contract.
func TestParseValid(t *testing.T) {
	golden := goldie.New(t, goldie.WithFixtureDir("testdata/valid"))
	for name, text := range readTestdata(t, "valid") {
		t.Run(name, func(t *testing.T) {
			first, err := contract.Parse(name, text)
			if err != nil {
				t.Fatal(err)
			}
			formatted, err := contract.Format(first)
			if err != nil {
				t.Fatal(err)
			}
			golden.Assert(t, name, formatted)
			reparsed, err := contract.Parse(name, formatted)
			if err != nil {
				t.Fatal(err)
			}
			if reformatted, _ := contract.Format(reparsed); string(reformatted) != string(formatted) {
				t.Fatalf("second pass differs:\n%s", reformatted)
			}
		})
	}
}

// TestParseFaulty guards against violations that are missing from the error or lack their key, value or rule, and against
// errors that contain part of a verifier.
func TestParseFaulty(t *testing.T) {
	golden := goldie.New(t, goldie.WithFixtureDir("testdata/faulty"))
	for name, text := range readTestdata(t, "faulty") {
		t.Run(name, func(t *testing.T) {
			_, err := contract.Parse(name+".toml", text)
			if err == nil {
				t.Fatal("accepted")
			}
			golden.Assert(t, name, []byte(err.Error()+"\n"))
			for _, secret := range []string{"SECRET", "12345", "c2FsdHNhbHQ"} {
				if strings.Contains(err.Error(), secret) {
					t.Errorf("the error shows %s", secret)
				}
			}
		})
	}
}

// TestCheckGroups guards against contracts whose transaction limits together exceed the connections of a group's server.
func TestCheckGroups(t *testing.T) {
	two := func(transactions int) []*contract.Contract {
		var contracts []*contract.Contract
		for _, organisation := range []ids.OrganisationID{"a", "b"} {
			contracts = append(contracts, &contract.Contract{
				Organisation: organisation, Limits: contract.Limits{Transactions: transactions},
				Routes: []contract.Route{{Name: "x", Group: "g1"}, {Name: "y", Group: "g1"}},
			})
		}
		return contracts
	}
	connections := map[ids.GroupID]int{"g1": 20}
	if err := contract.CheckGroups(two(10), connections); err != nil {
		t.Error(err)
	}
	err := contract.CheckGroups(two(11), connections)
	want := "limits.transactions = 22: the sum over the organisations of group g1 must be at most its 20 connections (a 11, b 11)"
	if err == nil || err.Error() != want {
		t.Errorf("got %v", err)
	}
	if err := contract.CheckGroups(two(1), nil); err == nil {
		t.Error("a group without a record was accepted")
	}
}

// FuzzParse guards against panics on malformed text and against contracts that do not survive Format and Parse unchanged.
func FuzzParse(f *testing.F) {
	for _, kind := range []string{"valid", "faulty"} {
		for _, text := range readTestdata(f, kind) {
			f.Add(text)
		}
	}
	f.Add([]byte("given = {\"\" = 1}\n[[keys]]\ngiven = {\"\" = 1}"))
	f.Fuzz(func(t *testing.T, text []byte) {
		first, err := contract.Parse("fuzz", text)
		if err != nil {
			return
		}
		formatted, err := contract.Format(first)
		if err != nil {
			t.Fatal(err)
		}
		reparsed, err := contract.Parse("fuzz", formatted)
		if err != nil {
			t.Fatalf("formatted contract is refused: %v\n%s", err, formatted)
		}
		for i := range reparsed.Keys {
			if !reparsed.Keys[i].IssuedAt.Equal(first.Keys[i].IssuedAt) || !reparsed.Keys[i].WithdrawnAt.Equal(first.Keys[i].WithdrawnAt) {
				t.Fatalf("dates of key %d differ", i)
			}
			reparsed.Keys[i].IssuedAt, reparsed.Keys[i].WithdrawnAt = first.Keys[i].IssuedAt, first.Keys[i].WithdrawnAt
		}
		if len(reparsed.Keys) == 0 {
			reparsed.Keys = first.Keys
		}
		if !reflect.DeepEqual(first, reparsed) {
			t.Fatalf("round trip differs:\n%+v\n%+v", first, reparsed)
		}
	})
}
