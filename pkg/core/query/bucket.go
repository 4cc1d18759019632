package query

// bucket is a token bucket that first attempts fill, so that what it pays for
// stays a fraction of them.
type bucket struct {
	tokens float64
	burst  float64
}

// earn adds the fraction of n first attempts.
func (b *bucket) earn(n int, fraction float64) {
	b.tokens = min(b.burst, b.tokens+float64(n)*fraction)
}

// take spends one token if there is one.
func (b *bucket) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
