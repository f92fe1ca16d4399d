"""Retry budgets and hedged requests."""
