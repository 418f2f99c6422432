package published

// maxLogged is the number of changes that a node keeps for those that follow it. A follower that lacks more takes the
// whole state.
const maxLogged = 512

// changeLog holds the latest changes, oldest first.
type changeLog struct {
	updates []Update
	after   uint64 // the log holds all changes after this revision
}

// add appends a change. An older configuration is dropped: the newer one replaces it.
func (l *changeLog) add(u Update) {
	if u.Configuration != nil {
		kept := l.updates[:0]
		for _, have := range l.updates {
			if have.Configuration == nil {
				kept = append(kept, have)
			}
		}
		l.updates = kept
	}
	l.updates = append(l.updates, u)
	if extra := len(l.updates) - maxLogged; extra > 0 {
		l.after = l.updates[extra-1].Revision
		l.updates = append([]Update(nil), l.updates[extra:]...)
	}
}

// restart empties the log: what was merged last did not come as single changes.
func (l *changeLog) restart(revision uint64) { l.updates, l.after = nil, revision }

// since returns the changes after a revision, and false when the log does not reach back that far.
func (l *changeLog) since(revision uint64) ([]Update, bool) {
	if revision < l.after {
		return nil, false
	}
	for i, u := range l.updates {
		if u.Revision > revision {
			return append([]Update(nil), l.updates[i:]...), true
		}
	}
	return nil, true
}
