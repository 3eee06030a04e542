"""A short soak of entry processes; more seeds and instances by hand (see the environment)."""

import os
import random

import gevent
import pytest
from soak import Soak

# For example SOAK_SEEDS=50 SOAK_FIRST_SEED=100 SOAK_INSTANCES=40.
FIRST_SEED = int(os.environ.get("SOAK_FIRST_SEED", "1"))
SEEDS = int(os.environ.get("SOAK_SEEDS", "2"))
INSTANCES = int(os.environ.get("SOAK_INSTANCES", "7"))
ROUNDS = 3
START_S = 3.0


@pytest.mark.process
@pytest.mark.parametrize("seed", range(FIRST_SEED, FIRST_SEED + SEEDS))
def test_changes_take_effect_in_time_while_faults_overlap(seed, tmp_path):
    # Guards against instances that keep an older configuration after or beside a fault.
    soak = Soak(random.Random(seed), INSTANCES, tmp_path)
    try:
        soak.start()
        gevent.sleep(START_S)
        for _ in range(ROUNDS):
            assert soak.run_round() == []
        assert soak.find_outdated() == []
        assert soak.find_downgrades() == []
        assert soak.find_rejected() == []
    finally:
        soak.stop()
