"""Ownership of endpoint budgets: which instance may use which endpoint, and until when."""
