package promoter

// Retire has this VM leave the duty to another one before its process ends: at once, or when the replacements that it has begun have ended.
// It begins no others. A replacement that ends with the process costs its group the primary until orders of that process can't take effect
// any more, some 3 s. If no other VM takes the duty, this one goes on.
func (promoter *Promoter) Retire() {
	if len(promoter.mesh.Peers()) == 0 {
		return
	}
	promoter.duty.deferToOthers()
	if token, held := promoter.duty.held(); held {
		promoter.retiring.Store(int64(token))
	}
}

// isRetiring reports whether this VM is to leave the duty that it holds with the token.
func (promoter *Promoter) isRetiring(token Token) bool {
	return Token(promoter.retiring.Load()) == token
}

// leaveIfRetiring leaves the duty if this VM is to and no replacement is running.
func (promoter *Promoter) leaveIfRetiring(token Token) {
	if promoter.isRetiring(token) && !promoter.isReplacing() {
		promoter.duty.leave()
	}
}

// isReplacing reports whether a replacement or its clean-up is in progress.
func (promoter *Promoter) isReplacing() bool {
	promoter.mutex.Lock()
	defer promoter.mutex.Unlock()
	for _, watched := range promoter.watches {
		if watched.running {
			return true
		}
	}
	return false
}
