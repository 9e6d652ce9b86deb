"""Retry budgets, deadlines and hedged requests."""
