"""Direct path: routes, endpoints, replica choice, budgets, members and query state."""
