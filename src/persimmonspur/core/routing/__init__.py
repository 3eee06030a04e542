"""Replica selection, latency estimates, hedging and outlier ejection."""
