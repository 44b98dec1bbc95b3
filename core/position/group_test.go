package position_test

import (
	"errors"
	"testing"

	"dotterelgw/core/position"
)

// Guards against a position of one group that is compared with one of another, whose log it says nothing of.
func TestPositionsOfTwoGroups(t *testing.T) {
	none := position.GroupPosition{}
	for name, test := range map[string]struct {
		one, other position.GroupPosition
		less       bool
		err        error
	}{
		"same group, before":    {position.In("g1", at(1, 4)), position.In("g1", at(1, 5)), true, nil},
		"same group, after":     {position.In("g1", at(2, 4)), position.In("g1", at(1, 5)), false, nil},
		"another group":         {position.In("g1", at(1, 4)), position.In("g2", at(1, 5)), false, position.ErrOtherGroup},
		"another group, equal":  {position.In("g1", at(1, 4)), position.In("g2", at(1, 4)), false, position.ErrOtherGroup},
		"none before any":       {none, position.In("g1", at(1, 4)), true, nil},
		"any after none":        {position.In("g1", at(1, 4)), none, false, nil},
		"none before none":      {none, none, false, nil},
		"beginning of two logs": {position.In("g1", at(0, 0)), position.In("g2", at(0, 0)), false, nil},
	} {
		t.Run(name, func(t *testing.T) {
			less, err := test.one.Less(test.other)
			if less != test.less || !errors.Is(err, test.err) {
				t.Errorf("%s before %s: %t, %v, want %t, %v", test.one, test.other, less, err, test.less, test.err)
			}
		})
	}
}

// Guards against a position that is taken for one of a group to which it doesn't belong.
func TestPositionOfItsGroupOnly(t *testing.T) {
	written := position.In("g1", at(3, 7))
	if got, err := written.Of("g1"); err != nil || got != at(3, 7) {
		t.Errorf("of its group: %v, %v", got, err)
	}
	if got, err := written.Of("g2"); !errors.Is(err, position.ErrOtherGroup) || got != (position.Position{}) {
		t.Errorf("of another group: %v, %v", got, err)
	}
	if got, err := (position.GroupPosition{}).Of("g2"); err != nil || got != (position.Position{}) {
		t.Errorf("none: %v, %v", got, err)
	}
}
