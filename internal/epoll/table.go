package epoll

// Table counts the descriptors of the connections against what the process may hold.
type Table struct {
	limit int
	open  int
	shed  []func() bool
}

// NewTable returns a table for the given number of connections.
func NewTable(limit int) *Table { return &Table{limit: limit} }

// Shed names a function that closes one idle connection and tells whether there was one. Functions named
// earlier are asked first.
func (t *Table) Shed(f func() bool) { t.shed = append(t.shed, f) }

// Take asks for room for one connection more, closing an idle one if there is none.
func (t *Table) Take() bool {
	for i := 0; t.open >= t.limit && i < len(t.shed); i++ {
		t.shed[i]()
	}
	if t.open >= t.limit {
		return false
	}
	t.open++
	return true
}

// Give gives the room of a connection back.
func (t *Table) Give() { t.open-- }

// Open is the number of connections that are counted.
func (t *Table) Open() int { return t.open }
