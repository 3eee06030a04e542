"""Weighted random walks through the rules of a state machine.

Hypothesis explores short sequences of any kind and shrinks what it finds; a
walk with weights gets into states that need dozens of ordinary steps first.
"""

from random import Random

from hypothesis import strategies as st


def choose(source, options):
    """Choose with hypothesis data or a random generator."""
    if isinstance(source, Random):
        return source.choice(options)
    return source.draw(st.sampled_from(options))


def walk(machine, steps, rng, length):
    """Take steps: pairs of a weight and a function of the generator; then tear down."""
    weights = [weight for weight, _ in steps]
    functions = [function for _, function in steps]
    for function in rng.choices(functions, weights, k=length):
        function(rng)
    machine.teardown()
