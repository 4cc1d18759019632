package api

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// Errors of answers.
var (
	// ErrTruncated means that the items of an answer do not have the count or
	// checksum that the answer states.
	ErrTruncated = errors.New("api: answer is truncated or altered")
	// ErrEncode means that an answer cannot be written as JSON.
	ErrEncode = errors.New("api: cannot encode answer")
)

// checksum hashes the ids, scores and documents of items. The lengths of ids
// and documents are part of the hash, so that bytes which move from one field
// to the next change it.
func checksum(items []model.Item) string {
	d := xxhash.New()
	var buf [8]byte
	writeUint64 := func(v uint64) {
		binary.LittleEndian.PutUint64(buf[:], v)
		_, _ = d.Write(buf[:])
	}
	for i := range items {
		item := &items[i]
		writeUint64(uint64(len(item.ID)))
		_, _ = d.WriteString(item.ID)
		writeUint64(math.Float64bits(item.Score))
		writeUint64(uint64(len(item.Doc)))
		_, _ = d.Write(item.Doc)
	}
	return strconv.FormatUint(d.Sum64(), 16)
}

// EncodeAnswer writes an answer as JSON. Documents are copied byte for byte:
// encoding/json would reformat them and so change the checksum.
func EncodeAnswer(a *model.Answer, epoch uint64) ([]byte, error) {
	head := AnswerHead{
		RequestID:     a.RequestID,
		Service:       a.Service,
		Snapshot:      Snapshot(a.Snapshot),
		BundleVersion: a.BundleVersion,
		Epoch:         epoch,
		Shards:        Shards{Asked: a.Asked, Answered: a.Answered, Missing: make([]MissingShard, len(a.Missing))},
		Complete:      a.Complete,
		Attempts:      a.Attempts,
		Count:         len(a.Items),
		Checksum:      checksum(a.Items),
	}
	for i, m := range a.Missing {
		head.Shards.Missing[i] = MissingShard(m)
	}
	out, err := json.Marshal(head)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrEncode, err)
	}
	out = append(out[:len(out)-1], `,"items":[`...)
	for i := range a.Items {
		if i > 0 {
			out = append(out, ',')
		}
		if out, err = appendItem(out, &a.Items[i]); err != nil {
			return nil, err
		}
	}
	return append(out, "]}\n"...), nil
}

func appendItem(out []byte, item *model.Item) ([]byte, error) {
	id, err := json.Marshal(item.ID)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrEncode, err)
	}
	if math.IsNaN(item.Score) || math.IsInf(item.Score, 0) {
		return nil, fmt.Errorf("%w: item %s has score %v", ErrEncode, id, item.Score)
	}
	out = append(out, `{"id":`...)
	out = append(out, id...)
	out = append(out, `,"score":`...)
	out = strconv.AppendFloat(out, item.Score, 'g', -1, 64)
	if len(item.Doc) > 0 {
		out = append(out, `,"doc":`...)
		out = append(out, item.Doc...)
	}
	return append(out, '}'), nil
}

// DecodeAnswer reads an answer and compares its items with count and checksum.
// The error is ErrTruncated if they differ or the JSON cannot be decoded, for
// example because it is cut off.
func DecodeAnswer(body []byte) (*Answer, error) {
	a := new(Answer)
	if err := json.Unmarshal(body, a); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrTruncated, err)
	}
	items := a.modelItems()
	if a.Count != len(items) {
		return nil, fmt.Errorf("%w: %d items, answer states %d", ErrTruncated, len(items), a.Count)
	}
	if sum := checksum(items); sum != a.Checksum {
		return nil, fmt.Errorf("%w: checksum %s, answer states %s", ErrTruncated, sum, a.Checksum)
	}
	return a, nil
}

func (a *Answer) modelItems() []model.Item {
	items := make([]model.Item, len(a.Items))
	for i, item := range a.Items {
		items[i] = model.Item{ID: item.ID, Score: item.Score, Doc: item.Doc}
	}
	return items
}

// Model returns the answer as a model.Answer.
func (a *Answer) Model() *model.Answer {
	out := &model.Answer{
		RequestID:     a.RequestID,
		Service:       a.Service,
		Snapshot:      model.Snapshot(a.Snapshot),
		BundleVersion: a.BundleVersion,
		Asked:         a.Shards.Asked,
		Answered:      a.Shards.Answered,
		Complete:      a.Complete,
		Items:         a.modelItems(),
		Attempts:      a.Attempts,
	}
	for _, m := range a.Shards.Missing {
		out.Missing = append(out.Missing, model.MissingShard(m))
	}
	return out
}
