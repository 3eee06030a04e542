"""Command-line tool."""
