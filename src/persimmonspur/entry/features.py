"""Settings of the parts that take effect only in some deployments."""

from attrs import frozen


@frozen
class FeatureSettings:
    """Bounds that the deployment sets for optional parts.

    :param strict_revoke: whether an instance that cannot confirm its configuration rejects
        requests that need an API key.
    :param revoke_ms: time after which an unconfirmed configuration counts as such.
    :param quota_window_ms: length of the sliding window over which quotas are checked.
    :param quota_overshoot: fraction by which an account may exceed its quota.
    :param quota_slack: requests per window beyond that.
    :param exposure_share: fraction of a service's requests that an unproven version may get;
        ``None`` if the deployment has no roll-outs.
    :param exposure_slack: requests beyond that fraction.
    :param rollback_ms: time within which a faulty version gets no more requests.
    :param memory_mb: memory of this process, in megabytes; 0 if unknown.
    :param max_fds: file descriptors of this process; 0 if unknown.
    """

    strict_revoke: bool = False
    revoke_ms: float = 5_000.0
    quota_window_ms: float = 5_000.0
    quota_overshoot: float = 0.0
    quota_slack: float = 0.0
    exposure_share: float | None = None
    exposure_slack: float = 0.0
    rollback_ms: float = 5_000.0
    memory_mb: float = 0.0
    max_fds: int = 0


# For deployments that set none of the bounds.
NO_FEATURES = FeatureSettings()
