package proxy

// nameInterner assigns each name a number that stays the same until the process ends, even if the settings that list
// the names are reloaded. The zero value is empty.
type nameInterner struct {
	byName map[string]int
	next   int
}

// internAll adds names in order, so that the names of the settings at startup get their indexes as numbers. A name that
// is known already uses up a number, so that the indexes of those after it still match.
func (n *nameInterner) internAll(names []string) {
	if n.byName == nil {
		n.byName = map[string]int{}
	}
	for _, name := range names {
		if _, known := n.byName[name]; !known {
			n.byName[name] = n.next
		}
		n.next++
	}
}

// intern returns a name's number, assigning the next one to a new name.
func (n *nameInterner) intern(name string) int {
	if _, known := n.byName[name]; !known {
		n.internAll([]string{name})
	}
	return n.byName[name]
}
