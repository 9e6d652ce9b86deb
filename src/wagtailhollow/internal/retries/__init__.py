"""Retry budgets, deadlines and hedging."""
