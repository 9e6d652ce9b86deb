"""Parts that the daemons share: life cycle and the HTTP side for operators."""
