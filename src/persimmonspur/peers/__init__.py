"""Transport between instances."""
