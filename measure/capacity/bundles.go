package capacity

import (
	"crypto/ed25519"
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"github.com/pistachiousher/pistachiousher/pkg/bundle"
)

// operators are the signers of measured bundles.
type operators struct {
	private map[string]ed25519.PrivateKey
	public  map[string]ed25519.PublicKey
}

func newOperators(names ...string) (*operators, error) {
	o := &operators{private: make(map[string]ed25519.PrivateKey), public: make(map[string]ed25519.PublicKey)}
	for _, name := range names {
		public, private, err := ed25519.GenerateKey(nil)
		if err != nil {
			return nil, fmt.Errorf("capacity: key: %w", err)
		}
		o.private[name], o.public[name] = private, public
	}
	return o, nil
}

// seal returns the envelope of the bundle with all signatures.
func (o *operators) seal(yaml string) (bundle.Envelope, error) {
	e, err := bundle.NewEnvelope("bundle.yaml", []byte(yaml))
	if err != nil {
		return e, err
	}
	for name, key := range o.private {
		if e, err = bundle.Sign(e, name, key); err != nil {
			return e, err
		}
	}
	return e, nil
}

// bundleSizes measures the encoded envelope and the CPU time to decode it,
// which every daemon does once per version.
func bundleSizes(r *Report) error {
	size := Series{Name: "bundle_bytes", X: "leafs", Y: "bundle envelope (KB)", Method: "signed by two operators, encoded as JSON"}
	cost := Series{Name: "bundle_decode", X: "leafs", Y: "CPU per bundle.Decode (ms)", Method: "parse, check, digest, two signatures; least of 3"}
	o, err := newOperators("ana", "iva")
	if err != nil {
		return err
	}
	for _, leafs := range regionSizes {
		e, err := o.seal(bundleYAML(newBundle(leafs)))
		if err != nil {
			return err
		}
		raw, err := json.Marshal(e)
		if err != nil {
			return err
		}
		used, err := leastCPU(3, func() error {
			_, err := bundle.Decode(raw, o.public, len(o.public))
			return err
		})
		if err != nil {
			return err
		}
		size.Points = append(size.Points, Point{float64(leafs), float64(len(raw)) / kilo})
		cost.Points = append(cost.Points, Point{float64(leafs), used.Seconds() * kilo})
	}
	return errors.Join(r.add(size), r.add(cost))
}

// Read reads a report and works out its figures again.
func Read(path string) (*Report, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("capacity: %w", err)
	}
	r := new(Report)
	if err := json.Unmarshal(raw, r); err != nil {
		return nil, fmt.Errorf("capacity: decode %s: %w", path, err)
	}
	r.Figures = nil
	r.workOut()
	return r, nil
}

// WriteJSON writes the report.
func (r *Report) WriteJSON(path string) error {
	raw, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return fmt.Errorf("capacity: encode report: %w", err)
	}
	if err := os.WriteFile(path, append(raw, '\n'), 0o644); err != nil {
		return fmt.Errorf("capacity: %w", err)
	}
	return nil
}
