package backend

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"unicode"
)

// Document is a searchable text. Its key determines its shard.
type Document struct {
	ID   string `json:"id"`
	Key  string `json:"key"`
	Text string `json:"text"`
}

// Item is a search result. Doc is the document as JSON.
type Item struct {
	ID    string          `json:"id"`
	Score float64         `json:"score"`
	Doc   json.RawMessage `json:"doc"`
}

// words are the vocabulary of the generated documents.
var words = strings.Fields(`binding cover spine thread linen leather glue press
	ledger archive invoice order paper board ribbon stamp gold edge folio quire
	honey hive frame wax comb queen smoker veil jar lid label pollen propolis
	swarm nectar extractor stand stock delivery pallet crate blue green oak pine`)

// wordsPerDocument is the number of words in a generated document.
const wordsPerDocument = 8

// Generate returns the documents of a corpus, with keys from "k00000" upwards. The
// same seed gives the same documents.
func Generate(c Corpus) []Document {
	random := rand.New(rand.NewPCG(c.Seed, 0))
	docs := make([]Document, c.Documents)
	for i := range docs {
		text := make([]string, wordsPerDocument)
		for j := range text {
			text[j] = words[random.IntN(len(words))]
		}
		key := fmt.Sprintf("k%05d", i)
		docs[i] = Document{ID: "doc-" + key, Key: key, Text: strings.Join(text, " ")}
	}
	return docs
}

// posting is a document that contains a term, and the term's count in it.
type posting struct {
	doc   int
	count int
}

// index is an inverted index over the documents of one shard.
type index struct {
	docs  []Document
	terms map[string][]posting
}

func newIndex(docs []Document) *index {
	x := &index{docs: docs, terms: make(map[string][]posting)}
	for i, d := range docs {
		counts := make(map[string]int)
		for _, t := range tokenize(d.Key + " " + d.Text) {
			counts[t]++
		}
		for t, n := range counts {
			x.terms[t] = append(x.terms[t], posting{doc: i, count: n})
		}
	}
	return x
}

// search returns the k documents with the highest scores among those that contain a
// term of the query, by falling score and then by id.
func (x *index) search(query string, k int) []Item {
	scores := make(map[int]float64)
	for _, t := range tokenize(query) {
		list := x.terms[t]
		weight := math.Log1p(float64(len(x.docs)) / float64(1+len(list)))
		for _, p := range list {
			scores[p.doc] += float64(p.count) * weight
		}
	}
	items := make([]Item, 0, len(scores))
	for doc, score := range scores {
		items = append(items, Item{ID: x.docs[doc].ID, Score: score})
	}
	slices.SortFunc(items, func(a, b Item) int {
		return cmp.Or(cmp.Compare(b.Score, a.Score), cmp.Compare(a.ID, b.ID))
	})
	items = items[:max(0, min(k, len(items)))]
	x.attachDocuments(items)
	return items
}

// attachDocuments sets Doc of the items.
func (x *index) attachDocuments(items []Item) {
	byID := make(map[string]int, len(items))
	for i := range items {
		byID[items[i].ID] = i
	}
	for i := range x.docs {
		at, ok := byID[x.docs[i].ID]
		if !ok {
			continue
		}
		raw, err := json.Marshal(x.docs[i])
		if err != nil {
			panic(err) // A Document holds only strings.
		}
		items[at].Doc = raw
	}
}

func tokenize(text string) []string {
	return strings.FieldsFunc(strings.ToLower(text), func(r rune) bool {
		return !unicode.IsLetter(r) && !unicode.IsDigit(r)
	})
}
