package promoter

import (
	"cmp"

	"dotterelgw/core/handover"
	"dotterelgw/core/ids"
	"dotterelgw/io/monitor"
)

// noteObstacle logs when the reason changes for which the primary of the group stays in an evacuated availability zone.
func (promoter *Promoter) noteObstacle(watched *groupWatch, group *monitor.Group, obstacle handover.Obstacle) {
	if watched.obstacle == obstacle {
		return
	}
	watched.obstacle = obstacle
	var zone ids.AvailabilityZone
	primary, term, known := group.Primary()
	if known {
		zone = primary.Info().Zone
	}
	promoter.eventLog.Event("evacuation_waits", "group", group.ID(), "primary", idOf(primary), "term", term, "availability_zone", zone,
		"reason", cmp.Or(obstacle, "none"))
}
