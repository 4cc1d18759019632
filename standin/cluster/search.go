package cluster

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"

	"github.com/pistachiousher/pistachiousher/pkg/model"
	"github.com/pistachiousher/pistachiousher/standin/backend"
)

// Item is an expected search result.
type Item struct {
	ID    string
	Score float64
}

// generateDocuments returns documents whose keys are spread evenly over the range of
// eight hexadecimal digits, so that a layout with hexadecimal bounds has documents
// in every shard.
func generateDocuments(n int) []backend.Document {
	docs := backend.Generate(backend.Corpus{Documents: n})
	step := (uint64(1) << 32) / uint64(max(n, 1))
	for i := range docs {
		docs[i].Key = fmt.Sprintf("%08x", uint64(i)*step)
		docs[i].ID = "doc-" + docs[i].Key
	}
	return docs
}

// Documents returns the documents that the backend servers hold.
func (c *Cluster) Documents() []backend.Document { return slices.Clone(c.docs) }

// Expect searches the documents directly, in the last layout of a service; see
// Search.
func (c *Cluster) Expect(service model.ServiceName, query string, topK int, key string, missing ...model.ShardName) ([]Item, error) {
	s, ok := c.Bundle().Service(service)
	if !ok {
		return nil, fmt.Errorf("%w: no service %s", ErrOptions, service)
	}
	return Search(&s.Layouts[len(s.Layouts)-1], c.docs, query, topK, key, missing...), nil
}

// Search searches the documents directly in every shard of a layout or, if key is
// not empty, only in the shard whose range contains key. It computes scores from
// the documents themselves and shares no search code with the backend servers or
// the daemons. Missing shards are left out, as in a partial answer.
func Search(l *model.Layout, docs []backend.Document, query string, topK int, key string, missing ...model.ShardName) []Item {
	var all []Item
	for _, shard := range l.Shards {
		if slices.Contains(missing, shard.Name) || (key != "" && !shard.Holds(key)) {
			continue
		}
		all = append(all, searchShard(documentsInShard(shard, docs), query)...)
	}
	slices.SortFunc(all, func(a, b Item) int {
		return cmp.Or(cmp.Compare(b.Score, a.Score), cmp.Compare(a.ID, b.ID))
	})
	return all[:min(topK, len(all))]
}

func documentsInShard(s model.Shard, docs []backend.Document) []backend.Document {
	var inShard []backend.Document
	for _, d := range docs {
		if s.Holds(d.Key) {
			inShard = append(inShard, d)
		}
	}
	return inShard
}

// searchShard returns the documents that match the query. The score is the sum,
// over the query's words, of the word's count in the document times a weight that
// grows with the word's rarity in the shard.
func searchShard(docs []backend.Document, query string) []Item {
	scores := make([]float64, len(docs))
	matched := make([]bool, len(docs))
	for _, word := range strings.Fields(strings.ToLower(query)) {
		counts, matching := countWord(docs, word)
		weight := math.Log1p(float64(len(docs)) / float64(1+matching))
		for i, n := range counts {
			if n > 0 {
				scores[i] += float64(n) * weight
				matched[i] = true
			}
		}
	}
	var items []Item
	for i, d := range docs {
		if matched[i] {
			items = append(items, Item{ID: d.ID, Score: scores[i]})
		}
	}
	return items
}

// countWord returns how often the word occurs in each document, and the number of
// documents that contain it.
func countWord(docs []backend.Document, word string) (counts []int, matching int) {
	counts = make([]int, len(docs))
	for i, d := range docs {
		for _, w := range strings.Fields(strings.ToLower(d.Key + " " + d.Text)) {
			if w == word {
				counts[i]++
			}
		}
		if counts[i] > 0 {
			matching++
		}
	}
	return counts, matching
}
