package logevent

import "testing"

// Guards against two events with one number, which would make logs ambiguous.
func TestCatalogueNumbersAreUnique(t *testing.T) {
	seen := map[ID]string{}
	for _, d := range Catalogue() {
		if other, ok := seen[d.ID]; ok {
			t.Errorf("event %d is both %s and %s", d.ID, other, d.Name)
		}
		seen[d.ID] = d.Name
	}
}
