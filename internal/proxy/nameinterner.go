package proxy

// nameInterner gives each name a number that it keeps for as long as the process runs, however often the settings that
// list names are reloaded. The zero value knows no names.
type nameInterner struct {
	byName map[string]int
	next   int
}

// add numbers names in their order: the first settings' names have their indices.
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

// number returns a name's number, a new one for a new name.
func (n *nameInterner) intern(name string) int {
	if _, known := n.byName[name]; !known {
		n.internAll([]string{name})
	}
	return n.byName[name]
}
