package budget

// Bytes is a number of bytes.
type Bytes int64

// Budget counts the bytes that are held of a fixed capacity.
type Budget struct {
	capacity, held Bytes
}

// New returns a budget of which nothing is held.
func New(capacity Bytes) *Budget { return &Budget{capacity: capacity} }

// SetCapacity changes the capacity; what is held stays held.
func (budget *Budget) SetCapacity(capacity Bytes) { budget.capacity = capacity }

// Reserve takes the bytes if they are free.
func (budget *Budget) Reserve(bytes Bytes) bool {
	if bytes > budget.capacity-budget.held {
		return false
	}
	budget.held += bytes
	return true
}

// Take takes the bytes also if they are not free, for what is in memory already.
func (budget *Budget) Take(bytes Bytes) { budget.held += bytes }

// Release gives the bytes back.
func (budget *Budget) Release(bytes Bytes) { budget.held -= bytes }

// Held returns the bytes that are held, which may exceed the capacity.
func (budget *Budget) Held() Bytes { return budget.held }

// Missing returns how many bytes have to be given back before the bytes can be reserved; 0 if they are free.
func (budget *Budget) Missing(bytes Bytes) Bytes { return max(bytes-(budget.capacity-budget.held), 0) }
