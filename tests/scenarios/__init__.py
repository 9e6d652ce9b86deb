"""Failure scenarios in Gherkin; a new one needs only a .feature file."""
