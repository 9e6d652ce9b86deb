"""Long proofs under failure; run by `make prove` only."""
