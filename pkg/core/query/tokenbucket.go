package query

// tokenBucket limits hedges or retries to a fraction of the first attempts,
// which refill it.
type tokenBucket struct {
	tokens float64
	burst  float64
}

// refill adds the fraction of a token for each of n first attempts.
func (b *tokenBucket) refill(n int, fraction float64) {
	b.tokens = min(b.burst, b.tokens+float64(n)*fraction)
}

// tryTake takes a token and reports whether there was one.
func (b *tokenBucket) tryTake() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
