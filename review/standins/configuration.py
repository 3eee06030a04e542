"""Configurations as the operator writes them."""


def build_route(service: str, **fields: object) -> dict[str, object]:
    """Return a route with a path prefix of the service's name."""
    route = {
        "name": f"r-{service}",
        "host": "host.example",
        "path_prefix": f"/{service}/",
        "kind": "idempotent",
        "timeout_ms": 2_000,
        "latency_target_ms": 500,
        "priority": 2,
        "service": service,
        "max_attempts": 2,
    }
    return route | fields


def build_configuration(
    routes: list[dict[str, object]], services: list[str], version: int = 7, cold_per_s: float = 0.0
) -> dict[str, object]:
    """Return a configuration of some routes and services."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": service,
                "health_path": "/health",
                "max_conns": 208,
                "protocol": "h1",
                "tls": False,
                "cold_s": 3.0,
                "cold_per_s": cold_per_s,
            }
            for service in services
        ],
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 262_144,
            "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000,
        },
    }
