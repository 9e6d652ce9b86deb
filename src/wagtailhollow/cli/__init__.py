"""Command-line front ends, one module for each console script."""
