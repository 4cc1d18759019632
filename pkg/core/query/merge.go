package query

import (
	"cmp"
	"container/heap"
	"slices"

	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// maxLinearDedup is the number of items up to which a linear scan finds
// duplicates faster than a map.
const maxLinearDedup = 16

// compareItems orders items by descending score, then by id.
func compareItems(a, b *model.Item) int {
	if c := cmp.Compare(b.Score, a.Score); c != 0 {
		return c
	}
	return cmp.Compare(a.ID, b.ID)
}

// mergeHeap is a heap of the shards' sorted items that are not merged yet; the
// list with the best first item is at the root.
type mergeHeap [][]model.Item

func (h mergeHeap) Len() int           { return len(h) }
func (h mergeHeap) Less(i, j int) bool { return compareItems(&h[i][0], &h[j][0]) < 0 }
func (h mergeHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *mergeHeap) Push(x any)        { *h = append(*h, x.([]model.Item)) }

// Pop removes the last list, as heap.Interface requires.
func (h *mergeHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}

// mergeTop returns the k best items of all answered shards, ordered by score,
// then by id. Of several items with the same id, only the best is kept.
func mergeTop(shards []shardRun, k int) []model.Item {
	lists := make(mergeHeap, 0, len(shards))
	total := 0
	for i := range shards {
		if items := sortedItems(shards[i].items); len(items) > 0 {
			lists = append(lists, items)
			total += len(items)
		}
	}
	heap.Init(&lists)
	top := make([]model.Item, 0, min(k, total))
	var seen map[string]struct{}
	if k > maxLinearDedup {
		seen = make(map[string]struct{}, min(k, total))
	}
	for len(lists) > 0 && len(top) < k {
		item := &lists[0][0]
		if !checkDuplicate(top, seen, item.ID) {
			top = append(top, *item)
		}
		if lists[0] = lists[0][1:]; len(lists[0]) > 0 {
			heap.Fix(&lists, 0)
		} else {
			heap.Pop(&lists)
		}
	}
	return top
}

// checkDuplicate reports whether the id is already in top. If seen is not nil,
// it is used instead of a scan of top, and the id is added to it.
func checkDuplicate(top []model.Item, seen map[string]struct{}, id string) bool {
	if seen == nil {
		return slices.ContainsFunc(top, func(it model.Item) bool { return it.ID == id })
	}
	_, dup := seen[id]
	seen[id] = struct{}{}
	return dup
}

// sortedItems returns the items in order; it copies them only if they are not.
func sortedItems(items []model.Item) []model.Item {
	for i := 1; i < len(items); i++ {
		if compareItems(&items[i-1], &items[i]) > 0 {
			items = slices.Clone(items)
			slices.SortFunc(items, func(a, b model.Item) int { return compareItems(&a, &b) })
			return items
		}
	}
	return items
}
