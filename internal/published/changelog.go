package published

// maxLoggedUpdates is the number of changes that a node keeps for its followers. A follower that lacks more gets the whole
// state.
const maxLoggedUpdates = 512

// changeLog holds the latest changes, oldest first.
type changeLog struct {
	updates       []Update
	afterRevision uint64 // the log holds all changes after this revision
}

// add appends a change. An older configuration is dropped, because the newer one replaces it.
func (l *changeLog) add(u Update) {
	if u.Configuration != nil {
		kept := l.updates[:0]
		for _, logged := range l.updates {
			if logged.Configuration == nil {
				kept = append(kept, logged)
			}
		}
		l.updates = kept
	}
	l.updates = append(l.updates, u)
	if extra := len(l.updates) - maxLoggedUpdates; extra > 0 {
		l.afterRevision = l.updates[extra-1].Revision
		l.updates = append([]Update(nil), l.updates[extra:]...)
	}
}

// reset empties the log after a merge that did not come as single changes.
func (l *changeLog) reset(revision uint64) { l.updates, l.afterRevision = nil, revision }

// since returns the changes after a revision, and false when the log does not reach back that far.
func (l *changeLog) since(revision uint64) ([]Update, bool) {
	if revision < l.afterRevision {
		return nil, false
	}
	for i, u := range l.updates {
		if u.Revision > revision {
			return append([]Update(nil), l.updates[i:]...), true
		}
	}
	return nil, true
}
