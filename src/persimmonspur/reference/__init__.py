"""Reference pages generated from the code."""
