"""Configuration files of the example deployments."""
