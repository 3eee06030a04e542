"""At-most-once records of non-repeatable requests."""
