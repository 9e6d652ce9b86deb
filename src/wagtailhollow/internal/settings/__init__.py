"""Typed settings files, validated before a program starts."""
