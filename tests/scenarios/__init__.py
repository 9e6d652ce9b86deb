"""Failure scenarios in Gherkin; a new case needs only a .feature file."""
