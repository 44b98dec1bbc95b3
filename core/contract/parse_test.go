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

func files(t testing.TB, kind string) map[string][]byte {
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

// TestParseValid guards the defaults and the written format; reading back what Format wrote must change nothing.
func TestParseValid(t *testing.T) {
	golden := goldie.New(t, goldie.WithFixtureDir("testdata/valid"))
	for name, text := range files(t, "valid") {
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
			again, err := contract.Parse(name, formatted)
			if err != nil {
				t.Fatal(err)
			}
			if twice, _ := contract.Format(again); string(twice) != string(formatted) {
				t.Fatalf("second pass differs:\n%s", twice)
			}
		})
	}
}

// TestParseFaulty guards the messages: each fault at once, with its place, value and rule, and no part of a verifier.
func TestParseFaulty(t *testing.T) {
	golden := goldie.New(t, goldie.WithFixtureDir("testdata/faulty"))
	for name, text := range files(t, "faulty") {
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

// TestCheckGroups guards against contracts that together promise more transactions than a group's server accepts.
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
		t.Error("a group without record was accepted")
	}
}

// FuzzParse guards against panics and against contracts that Parse accepts and Format cannot carry.
func FuzzParse(f *testing.F) {
	for _, kind := range []string{"valid", "faulty"} {
		for _, text := range files(f, kind) {
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
		again, err := contract.Parse("fuzz", formatted)
		if err != nil {
			t.Fatalf("formatted contract is refused: %v\n%s", err, formatted)
		}
		for i := range again.Keys {
			if !again.Keys[i].Given.Equal(first.Keys[i].Given) || !again.Keys[i].Withdrawn.Equal(first.Keys[i].Withdrawn) {
				t.Fatalf("dates of key %d differ", i)
			}
			again.Keys[i].Given, again.Keys[i].Withdrawn = first.Keys[i].Given, first.Keys[i].Withdrawn
		}
		if len(again.Keys) == 0 {
			again.Keys = first.Keys
		}
		if !reflect.DeepEqual(first, again) {
			t.Fatalf("round trip differs:\n%+v\n%+v", first, again)
		}
	})
}
