"""Slots, queues, warm-up and draining of one endpoint at its owner."""
