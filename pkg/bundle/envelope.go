package bundle

import (
	"crypto/ed25519"
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"github.com/pistachiousher/pistachiousher/pkg/model"
	"github.com/pistachiousher/pistachiousher/pkg/strictjson"
)

// Errors of envelopes.
var (
	// ErrEnvelope means that the envelope contradicts itself or cannot be read.
	ErrEnvelope = errors.New("bundle: bad envelope")
	// ErrSignatures means that too few operators signed the bundle.
	ErrSignatures = errors.New("bundle: too few valid signatures")
	// ErrKey means that a key cannot be used.
	ErrKey = errors.New("bundle: bad key")
	// ErrTooLarge means that the encoded envelope exceeds MaxSizeBytes.
	ErrTooLarge = errors.New("bundle: encoded envelope too large")
)

// signaturePrefix prevents a signature of another document with the same key
// from being valid for a bundle, and the reverse.
const signaturePrefix = "pistachiousher bundle signature 1\n"

// Envelope carries a bundle with the operators' signatures.
type Envelope struct {
	Version uint64 `json:"version"`
	// Digest is the result of the function Digest for the parsed YAML.
	Digest     string      `json:"digest"`
	YAML       string      `json:"yaml"`
	Signatures []Signature `json:"signatures"`
}

// Signature is one operator's signature over the digest.
type Signature struct {
	Signer string `json:"signer"`
	// Bytes is the Ed25519 signature, base64 in JSON.
	Bytes []byte `json:"signature"`
}

// NewEnvelope wraps a bundle that Parse accepts, without signatures.
func NewEnvelope(name string, data []byte) (Envelope, error) {
	b, err := Parse(name, data)
	if err != nil {
		return Envelope{}, err
	}
	return Envelope{Version: b.Version, Digest: Digest(b), YAML: string(data), Signatures: []Signature{}}, nil
}

// Encode returns the envelope as JSON.
func (e Envelope) Encode() ([]byte, error) {
	raw, err := json.Marshal(e)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrEnvelope, err)
	}
	if len(raw) > MaxSizeBytes {
		return nil, fmt.Errorf("%w: %d bytes, limit %d", ErrTooLarge, len(raw), MaxSizeBytes)
	}
	return raw, nil
}

// DecodeEnvelope reads an envelope without checking its contents.
func DecodeEnvelope(raw []byte) (Envelope, error) {
	var e Envelope
	if len(raw) > MaxSizeBytes {
		return e, fmt.Errorf("%w: %d bytes, limit %d", ErrTooLarge, len(raw), MaxSizeBytes)
	}
	if err := strictjson.Decode(raw, &e); err != nil {
		return Envelope{}, fmt.Errorf("%w: %w", ErrEnvelope, err)
	}
	return e, nil
}

// Bundle parses the YAML of the envelope and checks that version and digest
// are those of the YAML. It does not check signatures.
func (e Envelope) Bundle() (*model.Bundle, error) {
	b, err := Parse(fmt.Sprintf("bundles/%d", e.Version), []byte(e.YAML))
	if err != nil {
		return nil, err
	}
	if b.Version != e.Version {
		return nil, fmt.Errorf("%w: version %d, but its YAML says %d", ErrEnvelope, e.Version, b.Version)
	}
	if digest := Digest(b); digest != e.Digest {
		return nil, fmt.Errorf("%w: digest %s, but its YAML has %s", ErrEnvelope, e.Digest, digest)
	}
	return b, nil
}

// Sign returns the envelope with the signer's signature, which replaces an
// earlier one of the same signer. It refuses an envelope whose digest is not
// that of its YAML.
func Sign(e Envelope, signer string, key ed25519.PrivateKey) (Envelope, error) {
	if signer == "" || len(key) != ed25519.PrivateKeySize {
		return Envelope{}, fmt.Errorf("%w: signer %q with a private key of %d bytes", ErrKey, signer, len(key))
	}
	if _, err := e.Bundle(); err != nil {
		return Envelope{}, err
	}
	signatures := slices.DeleteFunc(slices.Clone(e.Signatures), func(s Signature) bool { return s.Signer == signer })
	e.Signatures = append(signatures, Signature{Signer: signer, Bytes: ed25519.Sign(key, signedMessage(e.Digest))})
	return e, nil
}

func signedMessage(digest string) []byte { return []byte(signaturePrefix + digest) }

// Verify checks version and digest against the YAML and that at least quorum
// operators signed. keys are the operators' public keys by signer name. Two
// signers with one key count once, as do two signatures of one signer.
// Signatures that are unknown or wrong do not count.
func Verify(e Envelope, keys map[string]ed25519.PublicKey, quorum int) error {
	_, err := verifiedBundle(e, keys, quorum)
	return err
}

// Decode reads an encoded envelope, verifies it and returns its bundle.
func Decode(raw []byte, keys map[string]ed25519.PublicKey, quorum int) (*model.Bundle, error) {
	e, err := DecodeEnvelope(raw)
	if err != nil {
		return nil, err
	}
	return verifiedBundle(e, keys, quorum)
}

func verifiedBundle(e Envelope, keys map[string]ed25519.PublicKey, quorum int) (*model.Bundle, error) {
	if quorum < 1 {
		return nil, fmt.Errorf("%w: a quorum of %d would accept unsigned bundles", ErrSignatures, quorum)
	}
	b, err := e.Bundle()
	if err != nil {
		return nil, err
	}
	if n := countSigners(e, keys); n < quorum {
		return nil, fmt.Errorf("%w: version %d has %d of %d", ErrSignatures, e.Version, n, quorum)
	}
	return b, nil
}

// countSigners counts the distinct keys with a valid signature of a distinct
// signer. Signer names map to one key each, so distinct keys imply distinct
// signers.
func countSigners(e Envelope, keys map[string]ed25519.PublicKey) int {
	message := signedMessage(e.Digest)
	seen := map[string]bool{}
	for _, s := range e.Signatures {
		key, ok := keys[s.Signer]
		if !ok || len(key) != ed25519.PublicKeySize || seen[string(key)] {
			continue
		}
		if ed25519.Verify(key, message, s.Bytes) {
			seen[string(key)] = true
		}
	}
	return len(seen)
}
