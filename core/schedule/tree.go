package schedule

// sums holds the quantities that a tree adds up over its nodes.
type sums struct {
	work, weight, offset float64
}

func (sums sums) plus(other sums) sums {
	return sums.combine(other, 1)
}

func (sums sums) minus(other sums) sums {
	return sums.combine(other, -1)
}

func (sums sums) combine(other sums, sign float64) sums {
	sums.work += sign * other.work
	sums.weight += sign * other.weight
	sums.offset += sign * other.offset
	return sums
}

// key orders the nodes of a tree. The sequence tells equal values apart.
type key struct {
	value    float64
	sequence uint64
}

func (key key) less(other key) bool {
	return key.value < other.value || key.value == other.value && key.sequence < other.sequence
}

// tree is a treap: a search tree that is balanced by a hash of the keys. It adds up the sums of its nodes, so that the sum of all
// nodes before a key takes O(log n).
type tree[T any] struct{ root *node[T] }

type node[T any] struct {
	key
	own, total  sums
	heapKey     uint64
	left, right *node[T]
	item        T
}

// total returns the sums of all nodes.
func (tree *tree[T]) total() sums { return tree.root.sums() }

func (tree *tree[T]) empty() bool { return tree.root == nil }

func (tree *tree[T]) insert(key key, own sums, item T) {
	added := &node[T]{key: key, own: own, total: own, heapKey: mix(key.sequence), item: item}
	tree.root = tree.root.insert(added)
}

func (tree *tree[T]) remove(key key) { tree.root = tree.root.remove(key) }

// first returns the item with the smallest key. The tree must not be empty.
func (tree *tree[T]) first() (key, T) {
	node := tree.root
	for node.left != nil {
		node = node.left
	}
	return node.key, node.item
}

// last returns the item with the largest key. The tree must not be empty.
func (tree *tree[T]) last() (key, T) {
	node := tree.root
	for node.right != nil {
		node = node.right
	}
	return node.key, node.item
}

// before returns the sums of the nodes with smaller keys.
func (tree *tree[T]) before(key key) sums {
	var before sums
	for node := tree.root; node != nil; {
		if key.less(node.key) || key == node.key {
			node = node.left
			continue
		}
		before = before.plus(node.own).plus(node.left.sums())
		node = node.right
	}
	return before
}

func (node *node[T]) sums() sums {
	if node == nil {
		return sums{}
	}
	return node.total
}

func (node *node[T]) update() *node[T] {
	node.total = node.own.plus(node.left.sums()).plus(node.right.sums())
	return node
}

func (node *node[T]) insert(added *node[T]) *node[T] {
	switch {
	case node == nil:
		return added
	case node.heapKey < added.heapKey:
		added.left, added.right = node.split(added.key)
		return added.update()
	case added.less(node.key):
		node.left = node.left.insert(added)
	default:
		node.right = node.right.insert(added)
	}
	return node.update()
}

// split returns the nodes before the key and the others.
func (node *node[T]) split(key key) (before, after *node[T]) {
	if node == nil {
		return nil, nil
	}
	if node.less(key) {
		node.right, after = node.right.split(key)
		return node.update(), after
	}
	before, node.left = node.left.split(key)
	return before, node.update()
}

func (node *node[T]) remove(key key) *node[T] {
	switch {
	case node == nil:
		return nil
	case key == node.key:
		return merge(node.left, node.right)
	case key.less(node.key):
		node.left = node.left.remove(key)
	default:
		node.right = node.right.remove(key)
	}
	return node.update()
}

// merge joins two trees; all keys of the first are smaller.
func merge[T any](one, other *node[T]) *node[T] {
	switch {
	case one == nil:
		return other
	case other == nil:
		return one
	case one.heapKey > other.heapKey:
		one.right = merge(one.right, other)
		return one.update()
	}
	other.left = merge(one, other.left)
	return other.update()
}

// mix returns a hash of the sequence number, which balances a tree of increasing sequence numbers.
func mix(sequence uint64) uint64 {
	sequence += 0x9e3779b97f4a7c15
	sequence = (sequence ^ sequence>>30) * 0xbf58476d1ce4e5b9
	sequence = (sequence ^ sequence>>27) * 0x94d049bb133111eb
	return sequence ^ sequence>>31
}
