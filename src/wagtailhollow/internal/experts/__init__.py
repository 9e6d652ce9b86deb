"""Expert placement and the switch of expert maps."""
