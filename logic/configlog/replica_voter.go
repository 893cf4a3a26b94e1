package configlog

// This file has the responses of a voter to a leader.

func (r *Replica) handleRecoverRequest(from string, request RecoverRequest) {
	if request.Term < r.promised {
		r.send(from, RecoverResponse{Term: request.Term, Refused: true, Known: r.promised})
		return
	}
	if r.cfg.Disabled.enabled(PromiseAtRecovery) {
		r.promise(request.Term)
	}
	r.send(from, RecoverResponse{Term: request.Term, Last: r.log.last(), Commit: r.committed})
}

func (r *Replica) handleFetchRequest(from string, request FetchRequest) {
	if request.Term < r.promised {
		r.send(from, RecoverResponse{Term: request.Term, Refused: true, Known: r.promised})
		return
	}
	response := FetchResponse{Term: request.Term, From: request.From}
	if request.From <= r.log.base.Index {
		response.Behind, response.Base = true, r.log.base
	} else {
		response.Entries = firstBatch(r.log.entriesAfter(request.From-1), r.cfg.MessageBytes)
	}
	r.send(from, response)
}

func (r *Replica) handleAppendRequest(from string, request AppendRequest, now float64) {
	if request.Term < r.promised {
		r.send(from, AppendResponse{Term: request.Term, Known: r.promised})
		return
	}
	if !contiguous(request.Previous, request.Entries) ||
		request.Term == r.promised && r.state != ReplicaFollower {
		return
	}
	r.promise(request.Term)
	previous, entries := r.trimToBase(request)
	if local, ok := r.log.version(previous.Index); !ok || local != previous {
		hint := min(r.log.last().Index, r.committed)
		if !ok {
			hint = r.log.last().Index
		}
		r.send(from, AppendResponse{Term: request.Term, Rejected: request.Previous.Index, Match: hint})
		return
	}
	if !r.mergeEntries(entries) {
		return
	}
	match := previous.Index + uint64(len(entries))
	r.committed = max(r.committed, min(request.Commit, match))
	if match >= request.Commit {
		r.upToDateAt = now
	}
	r.send(from, AppendResponse{Term: request.Term, Accepted: true, Match: match})
}

// trimToBase removes the entries at or below the base from a request. They are committed, so the leader
// has the same.
func (r *Replica) trimToBase(request AppendRequest) (Version, []Entry) {
	base := r.log.base
	if request.Previous.Index >= base.Index {
		return request.Previous, request.Entries
	}
	below := min(base.Index-request.Previous.Index, uint64(len(request.Entries)))
	return base, request.Entries[below:]
}

// mergeEntries appends entries that are known to continue the log at their index, and truncates own
// entries that conflict with them. It returns false and changes nothing if they conflict with committed
// entries, which no leader sends.
func (r *Replica) mergeEntries(entries []Entry) bool {
	for i, entry := range entries {
		local, ok := r.log.version(entry.Index)
		if ok && local == entry.Version {
			continue
		}
		if ok {
			if entry.Index <= r.committed {
				return false
			}
			r.truncate(entry.Index)
		}
		for _, entry := range entries[i:] {
			r.log.append(entry)
		}
		return true
	}
	return true
}

func (r *Replica) truncate(from uint64) {
	r.log.truncate(from)
	if from > r.savedIndex {
		return
	}
	r.savedIndex = from - 1
	r.truncateFrom = from
}

func (r *Replica) handleBehindNotice(from string, notice BehindNotice) {
	if notice.Term < r.promised || r.state != ReplicaFollower && notice.Term == r.promised {
		return
	}
	r.promise(notice.Term)
	if notice.Base.Index > r.committed {
		r.out.NeedSnapshot = notice.Base
		return
	}
	// The voter has installed a snapshot since. Its committed entries are in the log of every later
	// leader.
	r.send(from, AppendResponse{Term: notice.Term, Accepted: true, Match: r.committed})
}
