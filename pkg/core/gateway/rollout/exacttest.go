package rollout

import "math"

// table is a two-by-two table of one stratum: answers of the target version and of the
// former ones.
type table struct{ target, former tally }

// maxExactVariance is the variance of the number of bad answers from which its distribution
// is taken to be normal: the exact one then takes too long and differs little.
const maxExactVariance = 100.0

// stratifiedTest returns the one-sided p-value of the exact conditional test of a common odds
// ratio of 1 (the exact form of the Cochran-Mantel-Haenszel test; Fisher's exact test if
// there is one table): the probability that the target version has at least as many bad
// answers as were seen if in each table bad answers fall on the versions at random.
func stratifiedTest(tables []table) float64 {
	seen, mean, variance := 0.0, 0.0, 0.0
	var informative []table
	for _, t := range tables {
		n1, n2 := float64(t.target.all), float64(t.former.all)
		m, n := float64(t.target.bad+t.former.bad), n1+n2
		if n1 == 0 || n2 == 0 || m == 0 || m == n {
			continue
		}
		informative = append(informative, t)
		seen += float64(t.target.bad)
		mean += n1 * m / n
		variance += n1 * n2 * m * (n - m) / (n * n * (n - 1))
	}
	if len(informative) == 0 {
		return 1
	}
	if variance > maxExactVariance {
		return 0.5 * math.Erfc((seen-mean-0.5)/math.Sqrt(2*variance))
	}
	return upperTail(informative, int(seen))
}

// upperTail returns the probability that the sum of the tables' hypergeometric numbers of
// bad answers is at least seen.
func upperTail(tables []table, seen int) float64 {
	distribution := []float64{1}
	offset := 0
	for _, t := range tables {
		low, p := hypergeometric(t)
		offset += low
		next := make([]float64, len(distribution)+len(p)-1)
		for i, a := range distribution {
			for j, b := range p {
				next[i+j] += a * b
			}
		}
		distribution = next
	}
	sum := 0.0
	for i, p := range distribution {
		if i+offset >= seen {
			sum += p
		}
	}
	return min(1, sum)
}

// hypergeometric returns the probabilities of the numbers of bad answers of the target
// version from low on, given the margins of the table.
func hypergeometric(t table) (low int, p []float64) {
	n1, n2 := float64(t.target.all), float64(t.former.all)
	m := float64(t.target.bad + t.former.bad)
	from, to := max(0, m-n2), min(n1, m)
	for a := from; a <= to; a++ {
		p = append(p, math.Exp(logChoose(n1, a)+logChoose(n2, m-a)-logChoose(n1+n2, m)))
	}
	return int(from), p
}

func logChoose(n, k float64) float64 {
	a, _ := math.Lgamma(n + 1)
	b, _ := math.Lgamma(k + 1)
	c, _ := math.Lgamma(n - k + 1)
	return a - b - c
}
