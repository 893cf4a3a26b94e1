package gate

// callerRecord is the state of the caller at an index.
type callerRecord struct {
	number       int // that the caller identifies itself with
	pending      int // RPCs in the gate
	lastReceived float64
}

// maxCallers bounds the records of callers, as routers that restart come back under new numbers. It is many times the
// number of routers at any time. Beyond it, the record without RPCs that was last used longest ago is replaced.
const maxCallers = 1 << 10

// callerIndex returns the index of a caller. While all records have RPCs, new callers share one.
func (g *Gate[T]) callerIndex(number int, now float64) int {
	index, ok := g.callerIndexes[number]
	switch {
	case ok:
	case len(g.callerRecords) < maxCallers:
		index = len(g.callerRecords)
		g.callerRecords = append(g.callerRecords, callerRecord{})
	default:
		index = maxCallers - 1
		for k, c := range g.callerRecords {
			if c.pending == 0 && (g.callerRecords[index].pending > 0 ||
				c.lastReceived < g.callerRecords[index].lastReceived) {
				index = k
			}
		}
		delete(g.callerIndexes, g.callerRecords[index].number)
	}
	g.callerIndexes[number] = index
	g.callerRecords[index].number, g.callerRecords[index].lastReceived = number, now
	return index
}
