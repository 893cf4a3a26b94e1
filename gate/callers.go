package gate

// caller is what is kept by its index: the number it goes by, its RPCs in hand, when it last sent one.
type caller struct {
	number, out int
	heard       float64
}

// maxCallers bounds what new numbers can take, as routers that restart come under others: many times the
// routers that there are at once. Past it the one longest unheard that has nothing here makes room.
const maxCallers = 1 << 10

// caller gives the index of a caller. While all known ones are busy, newcomers count as one.
func (g *Gate[T]) caller(number int, now float64) int {
	from, ok := g.callers[number]
	switch {
	case ok:
	case len(g.known) < maxCallers:
		from = len(g.known)
		g.known = append(g.known, caller{})
	default:
		from = maxCallers - 1
		for k, c := range g.known {
			if c.out == 0 && (g.known[from].out > 0 || c.heard < g.known[from].heard) {
				from = k
			}
		}
		delete(g.callers, g.known[from].number)
	}
	g.callers[number] = from
	g.known[from].number, g.known[from].heard = number, now
	return from
}
