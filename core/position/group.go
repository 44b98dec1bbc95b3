package position

import (
	"fmt"

	"github.com/juju/errors"

	"dotterelgw/core/ids"
)

// ErrOtherGroup reports a position of one group where one of another group is needed. The logs of two groups have nothing in common.
const ErrOtherGroup = errors.ConstError("the position is one of another group")

// GroupPosition is a position in the log of one group. To compare it, its user must name the group. The zero value precedes every record
// of every group.
type GroupPosition struct {
	group    ids.GroupID
	position Position
}

// In returns the position as one in the log of the group.
func In(group ids.GroupID, at Position) GroupPosition {
	return GroupPosition{group: group, position: at}
}

// Of returns the position for comparisons with others of the group. The error wraps ErrOtherGroup if it is one of another group.
func (groupPosition GroupPosition) Of(group ids.GroupID) (Position, error) {
	if groupPosition.group != group && groupPosition.position != (Position{}) {
		return Position{}, fmt.Errorf("%s is not of group %s: %w", groupPosition, group, ErrOtherGroup)
	}
	return groupPosition.position, nil
}

// Less reports whether the position sorts before the other one, like Position.Less. The error wraps ErrOtherGroup if they are of two
// groups.
func (groupPosition GroupPosition) Less(other GroupPosition) (bool, error) {
	if groupPosition.position == (Position{}) {
		return other.position != (Position{}), nil
	}
	position, err := other.Of(groupPosition.group)
	if err != nil {
		return false, err
	}
	return groupPosition.position.Less(position), nil
}

// Parts returns the group and the position, to be encoded or logged.
func (groupPosition GroupPosition) Parts() (ids.GroupID, Position) {
	return groupPosition.group, groupPosition.position
}

// String returns GROUP:TERM.LOG.
func (groupPosition GroupPosition) String() string {
	return fmt.Sprintf("%s:%d.%d", groupPosition.group, groupPosition.position.Term, groupPosition.position.Log)
}
