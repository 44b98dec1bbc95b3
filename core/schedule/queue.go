package schedule

import (
	"math"
	"time"
)

const (
	// usageWindow is the time over which the use of the server by rank is averaged.
	usageWindow = 500 * time.Millisecond
	// minShareLeft is the smallest part of the server that is expected to be left for less urgent work.
	minShareLeft = 0.05
	// starvingShare is the part of the server that is kept for entries that have waited for their aging time.
	starvingShare = 0.05
)

// Queue holds the statements that wait for a slot of one backend server, and counts those that run there. It is deterministic
// and not safe for concurrent use. Push, Pop and Remove take O(log n).
type Queue struct {
	policy Policy
	ranks  [rankCount]rank
	// changes holds the items whose rank changes, by the time.
	changes  tree[*item]
	sequence uint64
	length   int
	running  int
	// usage is the part of the server that each rank used recently, as of usageAt.
	usage   [rankCount]float64
	usageAt time.Duration
	returns returns
	refused []Refused
}

// New returns an empty queue.
func New(policy Policy) *Queue { return &Queue{policy: policy} }

// SetPolicy changes the policy. Entries that wait keep their place.
func (queue *Queue) SetPolicy(policy Policy) { queue.policy = policy }

// Len returns the number of waiting entries.
func (queue *Queue) Len() int { return queue.length }

// Running returns the number of statements that run at the server.
func (queue *Queue) Running() int { return queue.running }

// Push adds an entry, or refuses it if it can't run within its deadline behind those that go before it.
func (queue *Queue) Push(now time.Duration, entry Entry) (Ticket, Refusal, bool) {
	queue.advance(now)
	queue.sequence++
	added := &item{Entry: entry, sequence: queue.sequence}
	added.rank, added.changesAt = added.rankAt(now)
	if queue.IsFull() {
		wait := queue.expected(now, added, queue.shareLeft)
		if now+wait > added.latestStart() && !queue.admitStarving(now, added) {
			return Ticket{}, queue.refusal(now, added, Full, wait), false
		}
	}
	added.waiting = true
	queue.length++
	queue.insert(added)
	queue.shed(now, added.rank)
	return Ticket{added}, Refusal{}, true
}

// Next returns the entry that Pop would return.
func (queue *Queue) Next(now time.Duration) (Ticket, bool) {
	queue.advance(now)
	if queue.IsFull() || queue.length == 0 {
		return Ticket{}, false
	}
	if item := queue.nextStarving(now); item != nil {
		return Ticket{item}, true
	}
	for index := range queue.ranks {
		if rank := &queue.ranks[index]; !rank.empty() {
			return Ticket{rank.next()}, true
		}
	}
	return Ticket{}, false
}

// nextStarving returns the starving item that has waited for its aging time, if there is room in the part of the server that is kept for
// such items, or nil.
func (queue *Queue) nextStarving(now time.Duration) *item {
	rank := &queue.ranks[starving]
	if rank.empty() || queue.usage[starving]*queue.decay(now) >= starvingShare || !queue.ranks[continuing].empty() {
		return nil
	}
	if item := rank.next(); now >= item.Arrived+queue.policy.Aging {
		return item
	}
	return nil
}

// admitStarving gives the item a place among the starving ones if it can be served there in time.
func (queue *Queue) admitStarving(now time.Duration, item *item) bool {
	if queue.policy.Aging == 0 || item.Continues || queue.starvingStart(now, item) > item.latestStart() {
		return false
	}
	item.rank, item.changesAt = starving, 0
	return true
}

// starvingStart returns when the item is expected to start among the starving ones.
func (queue *Queue) starvingStart(now time.Duration, item *item) time.Duration {
	rank, due := &queue.ranks[starving], item.Arrived+queue.policy.Aging
	if rank.empty() {
		return max(now, due)
	}
	ahead := rank.ahead(item, queue.policy.weight(item.Organisation)) + item.work()
	first := max(now, rank.next().Arrived+queue.policy.Aging)
	return max(first+queue.duration(ahead/starvingShare), due)
}

// Pop takes a slot for the entry to run next; false if nothing waits or no slot is free. Done frees the slot.
func (queue *Queue) Pop(now time.Duration) (Ticket, bool) {
	ticket, ok := queue.Next(now)
	if !ok {
		return Ticket{}, false
	}
	item := ticket.item
	queue.ranks[item.rank].serve(item)
	queue.recordUsage(now, item)
	queue.drop(item)
	queue.running++
	return ticket, true
}

// Done frees the slot of a statement that has ended.
func (queue *Queue) Done() {
	queue.running--
	if queue.running == 0 && queue.length == 0 {
		// An idle server owes nothing to anybody.
		queue.ranks = [rankCount]rank{}
	}
}

// Remove removes a waiting entry; false if it was served, refused or removed before.
func (queue *Queue) Remove(ticket Ticket) bool {
	item := ticket.item
	if item == nil || !item.waiting {
		return false
	}
	queue.ranks[item.rank].remove(item)
	queue.drop(item)
	return true
}

// TakeRefused returns the entries that were refused while they waited, since the last call.
func (queue *Queue) TakeRefused() []Refused {
	refused := queue.refused
	queue.refused = nil
	return refused
}

// Expected returns how long an entry that arrives now is expected to wait; 0 if a slot is free.
func (queue *Queue) Expected(now time.Duration, entry Entry) time.Duration {
	if !queue.IsFull() {
		return 0
	}
	arriving := &item{Entry: entry, sequence: queue.sequence + 1}
	return queue.expected(now, arriving, queue.shareLeft)
}

// IsFull reports whether all slots are taken.
func (queue *Queue) IsFull() bool { return queue.running >= queue.policy.Running }

// insert adds the item to its rank.
func (queue *Queue) insert(item *item) {
	queue.ranks[item.rank].add(item, queue.policy.weight(item.Organisation))
	if item.changesAt > 0 {
		queue.changes.insert(key{float64(item.changesAt), item.sequence}, sums{}, item)
	}
}

// drop forgets an item that was taken out of its rank.
func (queue *Queue) drop(item *item) {
	item.waiting = false
	queue.length--
	if item.changesAt > 0 {
		queue.changes.remove(key{float64(item.changesAt), item.sequence})
	}
}

// advance moves the items whose rank has changed, and refuses those that have become impossible to serve.
func (queue *Queue) advance(now time.Duration) {
	for !queue.changes.empty() {
		at, item := queue.changes.first()
		// The key is rounded once the VM has run for 104 days, so it does not tell whether the rank changes now.
		if item.changesAt > now {
			break
		}
		queue.changes.remove(at)
		queue.ranks[item.rank].remove(item)
		item.rank, item.changesAt = item.rankAt(now)
		queue.insert(item)
		if !queue.IsFull() {
			continue
		}
		if wait := queue.expected(now, item, queue.shareLeft); now+wait > item.latestStart() {
			queue.refuse(now, item, Late, wait)
		}
	}
	queue.expire(now)
}

// expire refuses the items that can't start in time behind the more urgent ones.
func (queue *Queue) expire(now time.Duration) {
	before := 0.0
	for index := range queue.ranks {
		rank := &queue.ranks[index]
		for !rank.empty() {
			wait := queue.duration(before)
			if !queue.IsFull() || index == starving {
				wait = 0
			}
			_, item := rank.deadlines.first()
			if now+wait <= item.latestStart() {
				break
			}
			queue.refuse(now, item, Displaced, wait)
		}
		before += rank.work()
	}
	queue.expireStarving(now)
}

// expireStarving refuses the last starving items that can't start in time any more.
func (queue *Queue) expireStarving(now time.Duration) {
	for rank := &queue.ranks[starving]; !rank.empty() && queue.IsFull(); {
		last := rank.last()
		start := queue.starvingStart(now, last)
		if start <= last.latestStart() {
			break
		}
		queue.refuse(now, last, Displaced, start-now)
	}
}

// shed refuses the last items of the ranks after the given one that can't start in time any more.
func (queue *Queue) shed(now time.Duration, rank int) {
	if !queue.IsFull() {
		return
	}
	for index := rank + 1; index < starving; index++ {
		for !queue.ranks[index].empty() {
			last := queue.ranks[index].last()
			wait := queue.expected(now, last, wholeServer)
			if now+wait <= last.latestStart() {
				break
			}
			queue.refuse(now, last, Displaced, wait)
		}
	}
}

func (queue *Queue) refuse(now time.Duration, item *item, cause Cause, wait time.Duration) {
	queue.ranks[item.rank].remove(item)
	queue.drop(item)
	queue.refused = append(queue.refused, Refused{Ticket{item}, queue.refusal(now, item, cause, wait)})
}

func (queue *Queue) refusal(now time.Duration, item *item, cause Cause, wait time.Duration) Refusal {
	left := max(item.latestStart()-now, 0)
	return Refusal{
		Cause: cause, Expected: wait, Left: left, Waiting: queue.length,
		RoomIn: queue.returns.next(now, levelOf(item.Priority), wait-left, queue.duration(item.work())),
	}
}

// expected returns the wait of the item behind all that goes before it, also after it has become late. The function returns the
// part of the server that is left for a rank.
func (queue *Queue) expected(now time.Duration, item *item, shareLeft func(time.Duration, int) float64) time.Duration {
	rank, changesAt := item.rankAt(now)
	wait := queue.waitIn(now, rank, item, shareLeft)
	if changesAt > 0 && now+wait >= changesAt {
		wait = max(wait, queue.waitIn(now, rank+1, item, shareLeft))
	}
	return wait
}

func (queue *Queue) waitIn(now time.Duration, rank int, item *item, shareLeft func(time.Duration, int) float64) time.Duration {
	ahead := queue.ranks[rank].ahead(item, queue.policy.weight(item.Organisation))
	for index := range rank {
		ahead += queue.ranks[index].work()
	}
	return queue.duration(ahead / shareLeft(now, rank))
}

// duration returns the time that the server needs for the work.
func (queue *Queue) duration(work float64) time.Duration {
	return time.Duration(work / float64(max(queue.policy.Running, 1)))
}

// recordUsage adds the item to the recent use of the server by its rank.
func (queue *Queue) recordUsage(now time.Duration, item *item) {
	decay := queue.decay(now)
	for index := range queue.usage {
		queue.usage[index] *= decay
	}
	queue.usageAt = max(now, queue.usageAt)
	queue.usage[item.rank] += float64(queue.duration(item.work())) / float64(usageWindow)
}

func (queue *Queue) decay(now time.Duration) float64 {
	return math.Exp(-float64(max(now-queue.usageAt, 0)) / float64(usageWindow))
}

// shareLeft returns the part of the server that more urgent ranks left recently: entries that arrive there later go first as well.
func (queue *Queue) shareLeft(now time.Duration, rank int) float64 {
	used := queue.usage[starving]
	for _, usage := range queue.usage[:rank] {
		used += usage
	}
	return max(1-used*queue.decay(now), minShareLeft)
}

// wholeServer assumes that nothing more urgent arrives.
func wholeServer(time.Duration, int) float64 { return 1 }
