"""Direct path from clients to endpoints: routing, replica selection, limits and membership."""
