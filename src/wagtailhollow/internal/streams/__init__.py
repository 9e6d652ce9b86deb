"""Reassembly of streamed answers."""
