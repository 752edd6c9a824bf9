"""Leader election: which controller leads, in which term, and until when it may act."""
